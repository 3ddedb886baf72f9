#include "placement/types.h"

namespace kingcuphub::placement {

namespace {

std::string textOf(int Code) {
  switch (static_cast<PlacementErrc>(Code)) {
  case PlacementErrc::UnknownAccelerator:
    return "unknown accelerator";
  case PlacementErrc::NoReport:
    return "no load report";
  case PlacementErrc::WrongIncarnation:
    return "incarnation mismatch";
  case PlacementErrc::NoMemory:
    return "not enough memory";
  case PlacementErrc::NotResident:
    return "not resident";
  case PlacementErrc::DuplicateOrder:
    return "duplicate order";
  case PlacementErrc::OldFencing:
    return "old fencing number";
  case PlacementErrc::NotHolder:
    return "not the lease holder";
  case PlacementErrc::Blocked:
    return "blocked by an unsettled order";
  case PlacementErrc::BadState:
    return "bad saved state";
  }
  return "unknown placement error";
}

const base::EnumCategory Category("placement", textOf);

} // namespace

std::error_code make_error_code(PlacementErrc Kind) {
  return {static_cast<int>(Kind), Category};
}

std::string_view orderKindName(OrderKind Kind) {
  switch (Kind) {
  case OrderKind::LoadModel:
    return "load_model";
  case OrderKind::UnloadModel:
    return "unload_model";
  case OrderKind::LoadAdapter:
    return "load_adapter";
  case OrderKind::UnloadAdapter:
    return "unload_adapter";
  case OrderKind::ChangeRole:
    return "change_role";
  }
  return "unknown";
}

} // namespace kingcuphub::placement
