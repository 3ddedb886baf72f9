#include "logservice/platformerror.h"

namespace kingcuphub::logservice {

namespace {

std::string textOf(int Code) {
  switch (static_cast<PlatformErrc>(Code)) {
  case PlatformErrc::Unavailable:
    return "platform unavailable";
  case PlatformErrc::AnswerLost:
    return "answer lost";
  case PlatformErrc::BadAnswer:
    return "bad answer from the platform";
  case PlatformErrc::TooLarge:
    return "answer too large";
  }
  return "unknown platform error";
}

const base::EnumCategory Category("platform", textOf);

} // namespace

std::error_code make_error_code(PlatformErrc Kind) {
  return {static_cast<int>(Kind), Category};
}

} // namespace kingcuphub::logservice
