#ifndef ROSEMARYWINCH_TESTS_SUPPORT_CONTROL_H_
#define ROSEMARYWINCH_TESTS_SUPPORT_CONTROL_H_

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "rosemarywinch/adapters/system.h"
#include "rosemarywinch/programs/consensus_driver.h"
#include "rosemarywinch/programs/control_service.h"
#include "support/fakes.h"
#include "support/process.h"

namespace rosemarywinch::test {

// A control replica in the process of a test, with a disk that takes all. In a
// cluster of `replicas` the others do not answer, so that it leads only alone.
class ControlReplica {
 public:
  struct Options {
    std::vector<uint32_t> replicas = {1};
    Duration lease{3'000};
    std::vector<std::string> data_centres = {};
    ConfigurationReader::Parser parser = ParseWithoutRoutes;
  };

  explicit ControlReplica(Options options)
      : service(options.lease,
                {},
                std::move(options.data_centres),
                std::move(options.parser)),
        driver(DriverOptions(std::move(options.replicas)),
               clock,
               m_random,
               m_storage,
               m_transport,
               service) {
    service.Attach(driver);
    BOOST_REQUIRE(driver.Start());
  }
  ~ControlReplica() { driver.Stop(); }
  ControlReplica(const ControlReplica&) = delete;
  ControlReplica& operator=(const ControlReplica&) = delete;

  void WaitForLeader() {
    BOOST_REQUIRE(WaitUntil([&] {
      return !std::holds_alternative<Error>(
          Capture([&] { return driver.ReadAsLeader(); }));
    }));
  }

  PollResponse Poll(const PollRequest& request) {
    const auto outcome = Capture([&] { return service.Poll(request); });
    BOOST_REQUIRE(std::holds_alternative<PollResponse>(outcome));
    return std::get<PollResponse>(outcome);
  }

 private:
  static ConsensusDriver::Options DriverOptions(
      std::vector<uint32_t> replicas) {
    ConsensusDriver::Options options;
    options.replica.replica_id = 1;
    options.replica.replica_ids = std::move(replicas);
    options.replica.heartbeat = {20};
    return options;
  }

  MockStorage m_storage;
  MockTransport m_transport;
  const std::unique_ptr<trompeloeil::expectation> m_recovers =
      NAMED_ALLOW_CALL(m_storage, Recover()).RETURN(RecoveredState{});
  const std::unique_ptr<trompeloeil::expectation> m_saves =
      NAMED_ALLOW_CALL(m_storage, SaveHardState(trompeloeil::_)).RETURN(Done{});
  const std::unique_ptr<trompeloeil::expectation> m_appends =
      NAMED_ALLOW_CALL(m_storage, Append(trompeloeil::_)).RETURN(Done{});
  const std::unique_ptr<trompeloeil::expectation> m_sends =
      NAMED_ALLOW_CALL(m_transport, Send(trompeloeil::_));
  SystemRandom m_random;

 public:
  SystemClock clock;
  ControlService service;
  ConsensusDriver driver;
};

}  // namespace rosemarywinch::test

#endif  // ROSEMARYWINCH_TESTS_SUPPORT_CONTROL_H_
