#ifndef KINGCUPHUB_CONTROL_INTERNAL_FIGUREMESSAGES_H
#define KINGCUPHUB_CONTROL_INTERNAL_FIGUREMESSAGES_H

/// \file
/// Conversion of what instances and holder tell each other about the load and
/// the speed of targets, and about overloaded models.

#include "dispatch/targetfigures.h"
#include "overload/admissionlevel.h"
#include "pacing/targetsample.h"

#include <fleet.pb.h>
#include <string>
#include <vector>

namespace kingcuphub::control {

void writeSamples(const std::vector<pacing::TargetSample> &Samples,
                  base::TimePoint Now, wire::InstanceReport &To);
std::vector<pacing::TargetSample> readSamples(const wire::InstanceReport &From,
                                              base::TimePoint Now);

/// The figures as one field of many replies; ages count from \p Now. Targets
/// are named by a hash, as the figures of all of them go to every instance
/// several times a second.
std::string encodeFigures(const dispatch::FigureTable &Figures,
                          base::TimePoint Now);
/// \p At is when the figures were encoded. Skips targets that are not in
/// \p Known. Nothing if the bytes can't be read.
std::optional<dispatch::FigureTable>
decodeFigures(const std::string &Bytes, const catalog::TargetList &Known,
              base::TimePoint At);

void writeArrivals(const overload::ArrivalTable &Arrivals,
                   wire::InstanceReport &To);
overload::ArrivalTable readArrivals(const wire::InstanceReport &From);

void writeAdmission(const overload::AdmissionLevels &Levels,
                    wire::HolderReply &To);
overload::AdmissionLevels readAdmission(const wire::HolderReply &From);

} // namespace kingcuphub::control

#endif // KINGCUPHUB_CONTROL_INTERNAL_FIGUREMESSAGES_H
