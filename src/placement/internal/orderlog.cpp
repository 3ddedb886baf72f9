#include "placement/orderlog.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::placement {

namespace {

/// Closed orders that are remembered, to detect repeated intents: more than a
/// holder can append while one append is unanswered.
constexpr std::size_t MaxClosed = 4096;

OrderLogEvent reject(const wire::Record &Record, OrderId Id, PlacementErrc Kind,
                     std::string Message) {
  return RecordRejected{Record.id(), std::move(Id),
                        base::Error{make_error_code(Kind), std::move(Message)}};
}

wire::OrderKind toWire(OrderKind Kind) {
  switch (Kind) {
  case OrderKind::LoadModel:
    return wire::ORDER_KIND_LOAD_MODEL;
  case OrderKind::UnloadModel:
    return wire::ORDER_KIND_UNLOAD_MODEL;
  case OrderKind::LoadAdapter:
    return wire::ORDER_KIND_LOAD_ADAPTER;
  case OrderKind::UnloadAdapter:
    return wire::ORDER_KIND_UNLOAD_ADAPTER;
  case OrderKind::ChangeRole:
    return wire::ORDER_KIND_CHANGE_ROLE;
  }
  return wire::ORDER_KIND_UNSPECIFIED;
}

std::optional<OrderKind> parse(wire::OrderKind Kind) {
  switch (Kind) {
  case wire::ORDER_KIND_LOAD_MODEL:
    return OrderKind::LoadModel;
  case wire::ORDER_KIND_UNLOAD_MODEL:
    return OrderKind::UnloadModel;
  case wire::ORDER_KIND_LOAD_ADAPTER:
    return OrderKind::LoadAdapter;
  case wire::ORDER_KIND_UNLOAD_ADAPTER:
    return OrderKind::UnloadAdapter;
  case wire::ORDER_KIND_CHANGE_ROLE:
    return OrderKind::ChangeRole;
  default:
    return std::nullopt;
  }
}

} // namespace

wire::OrderIntent toWire(const Order &What) {
  wire::OrderIntent Out;
  Out.set_order(What.Id.Value);
  Out.set_target(What.Where.Target.Value);
  Out.set_target_incarnation(What.TargetIncarnation.Value);
  Out.set_accelerator(What.Where.Index);
  Out.set_kind(toWire(What.Kind));
  Out.set_model(What.OrderedItem.Model.Value);
  Out.set_version(What.OrderedItem.Version);
  Out.set_adapter(What.OrderedItem.Adapter.Value);
  Out.set_bytes(What.Size.Value);
  Out.set_fencing(What.Fencing.Value);
  Out.set_deadline_ms(What.Deadline.count());
  return Out;
}

base::Result<Order> parse(const wire::OrderIntent &Intent) {
  auto Kind = parse(Intent.kind());
  if (!Kind || Intent.order().empty() || Intent.target().empty() ||
      Intent.bytes() < 0 || Intent.deadline_ms() < 0)
    return base::fail(PlacementErrc::BadState,
                      "the order's content is not valid; let the placement "
                      "replan");
  Order Out;
  Out.Id = OrderId{Intent.order()};
  Out.Where = {base::TargetId{Intent.target()}, Intent.accelerator()};
  Out.TargetIncarnation = base::Incarnation{Intent.target_incarnation()};
  Out.Kind = *Kind;
  Out.OrderedItem = {base::ModelId{Intent.model()}, Intent.version(),
                     base::AdapterId{Intent.adapter()}};
  Out.Size = base::Bytes{Intent.bytes()};
  Out.Fencing = base::Offset{Intent.fencing()};
  Out.Deadline = std::chrono::milliseconds(Intent.deadline_ms());
  return Out;
}

OrderLogEvent OrderLog::reduce(base::Offset At, const wire::Record &Record) {
  switch (Record.body_case()) {
  case wire::Record::kLease:
    return this->reduceLease(At, Record);
  case wire::Record::kOrderIntent:
    return this->reduceIntent(Record);
  case wire::Record::kOrderOutcome:
    return this->reduceOutcome(Record);
  default:
    return NotPlacement{};
  }
}

OrderLogEvent OrderLog::reduceLease(base::Offset At,
                                    const wire::Record &Record) {
  const wire::Lease &Requested = Record.lease();
  if (Requested.shard() != PlacementShard)
    return NotPlacement{};
  bool Holds = this->Lease && !this->Lease->Released &&
               this->Lease->Holder.Value == Requested.holder() &&
               this->Lease->HolderIncarnation.Value == Requested.incarnation();
  // An instance that has not read the last renewal cannot know that the lease
  // has expired, and a holder cannot renew before it has read its own claim.
  base::Offset MustHaveRead;
  if (this->Lease)
    MustHaveRead = Holds ? this->Lease->Fencing : this->Lease->RenewedAt;
  if (this->Lease && Record.base_offset() <= MustHaveRead.Value)
    return reject(Record, {}, PlacementErrc::NotHolder,
                  this->Lease->Holder.Value +
                      " claimed or renewed the lease in the meantime; wait "
                      "until it ends");
  if (Requested.release() && !Holds)
    return reject(Record, {}, PlacementErrc::NotHolder,
                  "only the holder gives the lease back");
  if (Holds) {
    this->Lease->RenewedAt = At;
    this->Lease->Duration = std::chrono::milliseconds(Requested.duration_ms());
    this->Lease->Released = Requested.release();
    return LeaseChanged{Record.id()};
  }
  this->Lease = LeaseState{base::InstanceId{Requested.holder()},
                           base::Incarnation{Requested.incarnation()},
                           At,
                           At,
                           std::chrono::milliseconds(Requested.duration_ms()),
                           false};
  return LeaseChanged{Record.id()};
}

bool OrderLog::isClosed(const OrderId &Id) const {
  return std::find(this->Closed.begin(), this->Closed.end(), Id) !=
         this->Closed.end();
}

OrderLogEvent OrderLog::reduceIntent(const wire::Record &Record) {
  const wire::OrderIntent &Intent = Record.order_intent();
  OrderId Id{Intent.order()};
  auto What = parse(Intent);
  if (!What)
    return RecordRejected{Record.id(), Id, What.error()};
  if (!this->Lease || this->Lease->Released ||
      What->Fencing != this->Lease->Fencing)
    return reject(
        Record, Id, PlacementErrc::OldFencing,
        "the lease has passed to another holder; the order is not sent");
  if (this->Open.count(Id) != 0 || this->isClosed(Id))
    return reject(Record, {}, PlacementErrc::DuplicateOrder,
                  "the intent was appended twice; the first one counts");
  this->Open.emplace(Id, *What);
  return OrderBegun{*What};
}

OrderLogEvent OrderLog::reduceOutcome(const wire::Record &Record) {
  const wire::OrderOutcome &Outcome = Record.order_outcome();
  OrderId Id{Outcome.order()};
  auto Known = this->Open.find(Id);
  if (Known == this->Open.end())
    return reject(Record, {}, PlacementErrc::DuplicateOrder,
                  "no such order is open; nothing is to be done");
  if (!this->Lease || Outcome.fencing() != this->Lease->Fencing.Value)
    return reject(Record, {}, PlacementErrc::OldFencing,
                  "the lease has passed to another holder, which settles the "
                  "order");
  this->Open.erase(Known);
  this->Closed.push_back(Id);
  if (this->Closed.size() > MaxClosed)
    this->Closed.pop_front();
  return OrderEnded{Id,
                    Outcome.result() == wire::ORDER_RESULT_DONE
                        ? OrderAnswer::Done
                        : OrderAnswer::NotDone,
                    base::Offset{Outcome.fencing()}};
}

wire::PlacementState OrderLog::save() const {
  wire::PlacementState Out;
  if (this->Lease) {
    Out.set_claimed(true);
    wire::Lease &Lease = *Out.mutable_lease();
    Lease.set_shard(PlacementShard);
    Lease.set_holder(this->Lease->Holder.Value);
    Lease.set_incarnation(this->Lease->HolderIncarnation.Value);
    Lease.set_duration_ms(this->Lease->Duration.count());
    Lease.set_release(this->Lease->Released);
    Out.set_fencing(this->Lease->Fencing.Value);
    Out.set_renewed_at(this->Lease->RenewedAt.Value);
  }
  for (const auto &[Id, Each] : this->Open)
    *Out.add_orders() = toWire(Each);
  for (const OrderId &Id : this->Closed)
    Out.add_closed_orders(Id.Value);
  return Out;
}

base::Result<void> OrderLog::load(const wire::PlacementState &Saved) {
  OrderLog Loaded;
  if (Saved.claimed())
    Loaded.Lease =
        LeaseState{base::InstanceId{Saved.lease().holder()},
                   base::Incarnation{Saved.lease().incarnation()},
                   base::Offset{Saved.fencing()},
                   base::Offset{Saved.renewed_at()},
                   std::chrono::milliseconds(Saved.lease().duration_ms()),
                   Saved.lease().release()};
  for (const wire::OrderIntent &Each : Saved.orders()) {
    auto What = parse(Each);
    if (!What)
      return tl::unexpected(What.error());
    Loaded.Open.emplace(What->Id, *What);
  }
  for (const std::string &Id : Saved.closed_orders())
    Loaded.Closed.push_back(OrderId{Id});
  *this = std::move(Loaded);
  return {};
}

} // namespace kingcuphub::placement
