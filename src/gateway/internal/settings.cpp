#include "gateway/settings.h"

#include "base/endpoint.h"

namespace kingcuphub::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds LongestTimeout = std::chrono::hours(1);
constexpr milliseconds LongestFreshness{10000};
constexpr std::int64_t MaxBodyBytes = 64 << 20;
constexpr std::int64_t MaxHeaderBytes = 1 << 20;

milliseconds timeout(base::SettingsReader &Reader, const std::string &Name,
                     base::Duration Default,
                     milliseconds Max = LongestTimeout) {
  return Reader.millis(Name, std::chrono::duration_cast<milliseconds>(Default),
                       milliseconds(1), Max);
}

void parseLimits(base::SettingsReader &Reader, Settings &Out) {
  Limits &To = Out.Limits;
  auto Size = [&Reader](const char *Name, std::size_t Default,
                        std::int64_t Max) {
    return static_cast<std::size_t>(
        Reader.number(Name, static_cast<std::int64_t>(Default), 1, Max));
  };
  To.BodyBytes = Size("body_bytes", To.BodyBytes, MaxBodyBytes);
  To.HeaderBytes = Size("header_bytes", To.HeaderBytes, MaxHeaderBytes);
  To.UnsentBytes = Size("unsent_bytes", To.UnsentBytes, MaxBodyBytes);
  To.OpenRequests = Size("open_requests", To.OpenRequests, 100000);
  To.OutputTokens = Reader.number("output_tokens", To.OutputTokens, 1, 1 << 24);
  To.ReadTimeout = timeout(Reader, "read_timeout_ms", To.ReadTimeout);
  To.WriteTimeout = timeout(Reader, "write_timeout_ms", To.WriteTimeout);
  To.QueueWait = timeout(Reader, "queue_wait_ms", To.QueueWait);
  To.Freshness =
      timeout(Reader, "freshness_ms", To.Freshness, LongestFreshness);
  To.ModelDeadline = timeout(Reader, "model_deadline_ms", To.ModelDeadline);
  To.ConnectTimeout = timeout(Reader, "connect_timeout_ms", To.ConnectTimeout);
  delivery::ModelCallSettings &Calls = Out.Calls;
  Calls.FirstTokenSilence =
      timeout(Reader, "first_token_ms", Calls.FirstTokenSilence);
  Calls.TokenSilence = timeout(Reader, "token_gap_ms", Calls.TokenSilence);
  Calls.ResumeWindow = timeout(Reader, "resume_window_ms", Calls.ResumeWindow);
  Calls.MaxAttempts = static_cast<unsigned>(
      Reader.number("attempts", Calls.MaxAttempts, 1, 10));
  Out.Retries.Ratio = Reader.real("retry_ratio", Out.Retries.Ratio, 0, 1);
}

void parseDrain(base::SettingsReader &Reader, Settings &Out) {
  DrainSettings &To = Out.Drain;
  To.BalancerGrace = Reader.millis("balancer_grace_ms", To.BalancerGrace,
                                   milliseconds(0), LongestTimeout);
  To.Bound = timeout(Reader, "bound_ms", To.Bound);
  if (To.Bound <= To.BalancerGrace)
    Reader.problem("bound_ms", std::to_string(To.Bound.count()),
                   "make it longer than balancer_grace_ms");
}

} // namespace

Settings parseSettings(base::SettingsReader &Reader) {
  Settings Out;
  Out.Deployment = Reader.requiredText("deployment");
  Out.Zone = {Reader.requiredText("zone")};
  base::Endpoint Listen = base::readEndpoint(Reader, "listen", "127.0.0.1:0");
  Out.ListenAddress = Listen.Address;
  Out.ListenPort = Listen.Port;
  Out.AgentLink = Reader.requiredText("agent_link");
  if (!Out.AgentLink.empty() && Out.AgentLink.rfind("tcp://", 0) != 0)
    Reader.problem("agent_link", '"' + Out.AgentLink + '"',
                   "write tcp://ADDRESS:PORT, as the agent prints it");
  Out.Level = base::parseLogLevel(
      Reader.oneOf("log_level", "info", {"debug", "info", "warn", "error"}));
  Reader.object("limits", [&Out](base::SettingsReader &Nested) {
    parseLimits(Nested, Out);
  });
  Reader.object("drain", [&Out](base::SettingsReader &Nested) {
    parseDrain(Nested, Out);
  });
  return Out;
}

} // namespace kingcuphub::gateway
