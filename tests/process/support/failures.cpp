#include "support/failures.h"

#include <csignal>

namespace radishroad::test {

namespace {

using FleetAction = std::function<void(Fleet&, const std::string&)>;

FleetAction
sendSignal(Role aRole, int aSignal)
{
  return [aRole, aSignal](Fleet& aFleet, const std::string& aVm) {
    aFleet.signal(aVm, aRole, aSignal);
  };
}

Failure
processLoss(std::string aName, Role aRole)
{
  return {
    std::move(aName),
    [aRole](Fleet& aFleet, const std::string& aVm) { aFleet.kill(aVm, aRole); },
    [aRole](Fleet& aFleet, const std::string& aVm) { aFleet.start(aVm, aRole); }
  };
}

FleetAction
setLogFault(std::string aName, nlohmann::json aValue)
{
  return [name = std::move(aName),
          value = std::move(aValue)](Fleet& aFleet, const std::string&) {
    aFleet.setLogFaults({ { name, value } });
  };
}

void
noAction(Fleet&, const std::string&)
{
}

}

std::vector<Failure>
vmFailures()
{
  return {
    processLoss("daemon lost", Role::Daemon),
    processLoss("upstream lost", Role::Upstream),
    { "daemon frozen",
      sendSignal(Role::Daemon, SIGSTOP),
      sendSignal(Role::Daemon, SIGCONT) },
    { "VM frozen",
      [](Fleet& aFleet, const std::string& aVm) {
        aFleet.signal(aVm, Role::Daemon, SIGSTOP);
        aFleet.signal(aVm, Role::Upstream, SIGSTOP);
      },
      [](Fleet& aFleet, const std::string& aVm) {
        aFleet.signal(aVm, Role::Upstream, SIGCONT);
        aFleet.signal(aVm, Role::Daemon, SIGCONT);
      } },
    { "partitioned from peers",
      [](Fleet& aFleet, const std::string& aVm) {
        aFleet.isolateFromPeers(aVm, true);
      },
      [](Fleet& aFleet, const std::string& aVm) {
        aFleet.isolateFromPeers(aVm, false);
      } },
    { "daemon restarted",
      [](Fleet& aFleet, const std::string& aVm) {
        aFleet.kill(aVm, Role::Daemon);
        aFleet.start(aVm, Role::Daemon);
      },
      noAction },
    { "partitioned from the log",
      [](Fleet& aFleet, const std::string& aVm) {
        aFleet.isolateFromLog(aVm, true);
      },
      [](Fleet& aFleet, const std::string& aVm) {
        aFleet.isolateFromLog(aVm, false);
      } },
    { "receives nothing from peers",
      [](Fleet& aFleet, const std::string& aVm) {
        aFleet.setLinkRule(
          { { "link", "peer-" + aVm }, { "hold_forward", true } });
      },
      [](Fleet& aFleet, const std::string& aVm) {
        aFleet.setLinkRule({ { "link", "peer-" + aVm } });
      } },
    { "links reset",
      [](Fleet& aFleet, const std::string& aVm) {
        aFleet.setLinkRule({ { "link", "peer-" + aVm }, { "cut", true } });
      },
      [](Fleet& aFleet, const std::string& aVm) {
        aFleet.setLinkRule({ { "link", "peer-" + aVm } });
      } },
    // A daemon that has not exited when the failure ends is killed, as the
    // VM's supervisor would do.
    { "daemon stopped by SIGTERM",
      sendSignal(Role::Daemon, SIGTERM),
      [](Fleet& aFleet, const std::string& aVm) {
        if (aFleet.process(aVm, Role::Daemon)->isRunning()) {
          aFleet.kill(aVm, Role::Daemon);
        }
      } },
  };
}

std::vector<Failure>
logFailures()
{
  return {
    { "log down", setLogFault("outage", true), setLogFault("outage", false) },
    { "log answers lost",
      setLogFault("lose_answers_every", 2),
      setLogFault("lose_answers_every", 0) },
    { "log slow", setLogFault("slow_ms", 300), setLogFault("slow_ms", 0) }
  };
}

std::vector<Failure>
noticeFailures()
{
  const auto namesLimit = [](double aPerSecond) {
    return Failure{
      "upstream names a limit",
      [aPerSecond](Fleet& aFleet, const std::string& aVm) {
        aFleet.setUpstreamFaults(aVm, { { "limit_per_second", aPerSecond } });
      },
      [](Fleet& aFleet, const std::string& aVm) {
        aFleet.setUpstreamFaults(aVm, { { "limit_per_second", nullptr } });
      }
    };
  };
  return { namesLimit(1.5),
           namesLimit(10),
           { "upstream is leaving",
             [](Fleet& aFleet, const std::string& aVm) {
               aFleet.setUpstreamFaults(aVm, { { "leaving", true } });
             },
             [](Fleet& aFleet, const std::string& aVm) {
               aFleet.kill(aVm, Role::Upstream);
               aFleet.start(aVm, Role::Upstream);
             } } };
}

std::vector<Failure>
logRestoreFailures()
{
  return {
    { "log restored",
      setLogFault("outage", true),
      [](Fleet& aFleet, const std::string&) {
        aFleet.setLogFaults({ { "restore_ms", 4000 }, { "outage", false } });
      } }
  };
}

std::vector<Failure>
failuresForPairs()
{
  const std::vector<Failure> vm = vmFailures();
  const std::vector<Failure> log = logFailures();
  return { vm[0], vm[1], vm[2], vm[3], log[0], log[1], vm[4], vm[5] };
}

}
