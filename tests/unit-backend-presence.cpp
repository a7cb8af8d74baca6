#define BOOST_TEST_MODULE backend_presence
#include <boost/test/unit_test.hpp>

#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "rosemarywinch/decisions/fleet/departures.h"
#include "rosemarywinch/decisions/fleet/fleet_store.h"
#include "rosemarywinch/decisions/mesh/backend_presence.h"

using namespace rosemarywinch;

namespace {

constexpr TimePoint kNow{100'000};
constexpr Duration kUnixNow{1'700'000'000'000};
constexpr Duration kSilence{6'000};
const std::string kAddress = "10.0.0.1:80";

BackendReport Report(uint64_t sequence, const char* state = "ready") {
  BackendReport report;
  report.service = "shop";
  report.address = "10.0.0.1:80";
  report.state = state;
  report.slots = 8;
  report.sequence = sequence;
  report.born = Duration{1'000};
  return report;
}

// Returns the state of a node's first process, to which control has told that
// no departures are stored.
BackendPresence FirstProcess() {
  BackendPresence presence(kAddress, kSilence);
  presence.OnDeparturesStored({});
  return presence;
}

bool Serves(const BackendPresence& presence, TimePoint now) {
  const auto current = presence.Current(now);
  return current && current->state != BackendState::kLeaving;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_stale_report_of_an_earlier_incarnation_is_ignored) {
  BackendPresence presence = FirstProcess();
  BackendReport first = Report(7);
  BOOST_TEST((presence.OnReport(kNow, kUnixNow, "i-1", first) ==
              ReportOutcome::kAccepted));
  BackendReport second = Report(1);
  second.born = Duration{9'000};
  BOOST_TEST((presence.OnReport(kNow, kUnixNow, "i-2", second) ==
              ReportOutcome::kAccepted));
  first.sequence = 8;
  BOOST_TEST((presence.OnReport(kNow, kUnixNow, "i-1", first) ==
              ReportOutcome::kStale));
  BOOST_TEST(presence.Current(kNow)->id == "i-2");
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_with_the_same_id_is_accepted) {
  BackendPresence presence = FirstProcess();
  presence.OnReport(kNow, kUnixNow, "i-1", Report(9, "leaving"));
  BackendReport restarted = Report(1);
  restarted.born = Duration{9'000};
  BOOST_TEST((presence.OnReport(kNow, kUnixNow, "i-1", restarted) ==
              ReportOutcome::kAccepted));
  BOOST_TEST((presence.Current(kNow)->state == BackendState::kReady));
}

BOOST_AUTO_TEST_CASE(leaving_is_final_for_an_incarnation) {
  BackendPresence presence = FirstProcess();
  presence.OnReport(kNow, kUnixNow, "i-1", Report(1));
  presence.OnWithdraw(kUnixNow, "i-1", {});
  presence.OnReport(kNow, kUnixNow, "i-1", Report(2));
  BOOST_TEST((presence.Current(kNow)->state == BackendState::kLeaving));
}

BOOST_AUTO_TEST_CASE(a_late_withdrawal_of_an_earlier_incarnation_is_ignored) {
  BackendPresence presence = FirstProcess();
  BackendReport restarted = Report(1);
  restarted.born = Duration{9'000};
  presence.OnReport(kNow, kUnixNow, "i-1", Report(9));
  presence.OnReport(kNow, kUnixNow, "i-1", restarted);
  presence.OnWithdraw(kUnixNow, "i-1", Duration{1'000});
  BOOST_TEST((presence.Current(kNow)->state == BackendState::kReady));
  presence.OnWithdraw(kUnixNow, "i-1", Duration{9'000});
  BOOST_TEST((presence.Current(kNow)->state == BackendState::kLeaving));
}

BOOST_AUTO_TEST_CASE(a_report_with_odd_numbers_shadows_no_later_one) {
  BackendPresence presence = FirstProcess();
  BackendReport future = Report(1);
  future.born = kUnixNow + Duration{86'400'000};
  BOOST_TEST((presence.OnReport(kNow, kUnixNow, "i-9", future) ==
              ReportOutcome::kInvalid));
  BackendReport many = Report(1);
  many.slots = 4'294'967'295;
  BOOST_TEST((presence.OnReport(kNow, kUnixNow, "i-9", many) ==
              ReportOutcome::kInvalid));
  BOOST_TEST((presence.OnReport(kNow, kUnixNow, "i-1", Report(1)) ==
              ReportOutcome::kAccepted));
}

BOOST_AUTO_TEST_CASE(invalid_reports_are_rejected) {
  BackendPresence presence = FirstProcess();
  BackendReport unknown_state = Report(1, "sleeping");
  BOOST_TEST((presence.OnReport(kNow, kUnixNow, "i-1", unknown_state) ==
              ReportOutcome::kInvalid));
  BackendReport other_address = Report(1);
  other_address.address = "10.0.0.2:80";
  BOOST_TEST((presence.OnReport(kNow, kUnixNow, "i-1", other_address) ==
              ReportOutcome::kInvalid));
  BackendReport partial = Report(1);
  partial.slots.reset();
  BOOST_TEST((presence.OnReport(kNow, kUnixNow, "i-1", partial) ==
              ReportOutcome::kInvalid));
  BOOST_TEST(!presence.Current(kNow));
}

// Failure: a node was told that its backend server leaves and restarted; a late
// report put the backend server in use again.
BOOST_AUTO_TEST_CASE(a_departure_binds_the_next_process) {
  BackendPresence first = FirstProcess();
  first.OnReport(kNow, kUnixNow, "i-1", Report(7));
  const auto departure = first.OnWithdraw(kUnixNow, "i-1", Duration{1'000});
  BOOST_REQUIRE(departure.has_value());
  BOOST_TEST(!first.departures().IsStored(*departure));
  first.OnDeparturesStored({*departure});
  BOOST_TEST(first.departures().IsStored(*departure));
  BOOST_TEST(first.departures().unstored().empty());

  BackendPresence second(kAddress, kSilence);
  second.OnReport(kNow, kUnixNow, "i-1", Report(6));
  BOOST_TEST(!second.Current(kNow).has_value());
  second.OnDeparturesStored({*departure});
  BOOST_TEST(!Serves(second, kNow));
  second.OnReport(kNow, kUnixNow, "i-1", Report(8));
  BOOST_TEST(!Serves(second, kNow));
}

// Failure: a notice that came before the first report was acknowledged and
// forgotten.
BOOST_AUTO_TEST_CASE(a_notice_before_the_first_report_is_kept) {
  BackendPresence presence = FirstProcess();
  BOOST_TEST(presence.OnWithdraw(kUnixNow, "i-1", Duration{1'000}).has_value());
  presence.OnReport(kNow, kUnixNow, "i-1", Report(7));
  BOOST_TEST(!Serves(presence, kNow));
}

BOOST_AUTO_TEST_CASE(a_late_report_of_leaving_still_holds) {
  BackendPresence presence = FirstProcess();
  presence.OnReport(kNow, kUnixNow, "i-1", Report(7));
  presence.OnReport(kNow, kUnixNow, "i-1", Report(6, "leaving"));
  BOOST_TEST(!Serves(presence, kNow));
}

BOOST_AUTO_TEST_CASE(a_notice_that_names_no_incarnation_is_not_taken) {
  BackendPresence presence = FirstProcess();
  presence.OnReport(kNow, kUnixNow, "i-1", Report(7));
  BOOST_TEST(!presence.OnWithdraw(kUnixNow, "", {}).has_value());
  BOOST_TEST(!presence.OnWithdraw(kUnixNow, "", Duration{1'000}).has_value());
  const Duration tomorrow = kUnixNow + Duration{86'400'000};
  BOOST_TEST(!presence.OnWithdraw(kUnixNow, "i-1", tomorrow).has_value());
  BOOST_TEST(presence.departures().unstored().empty());
  BOOST_TEST(Serves(presence, kNow));
}

// Failure: a node that had restarted answered such a notice with 400 until the
// backend server gave up.
BOOST_AUTO_TEST_CASE(a_notice_of_an_unknown_id_without_start_time_is_taken) {
  BackendPresence presence = FirstProcess();
  const auto departure = presence.OnWithdraw(kUnixNow, "i-1", {});
  BOOST_REQUIRE(departure.has_value());
  BOOST_TEST((presence.departures().unstored() == std::vector{*departure}));
  presence.OnDeparturesStored({*departure});
  presence.OnReport(kNow, kUnixNow, "i-1", Report(7));
  BOOST_TEST(!Serves(presence, kNow));
  BackendReport next = Report(1);
  next.born = kUnixNow + Duration{1};
  presence.OnReport(kNow, kUnixNow, "i-1", next);
  BOOST_TEST(Serves(presence, kNow));
  BOOST_TEST(presence.OnWithdraw(kUnixNow, "i-2", {}).has_value());
  BOOST_TEST(Serves(presence, kNow));
}

// Failure: the bound of such a notice, the present time, ended an incarnation
// that the node knew to be the current one with that id.
BOOST_AUTO_TEST_CASE(
    a_notice_without_start_time_names_the_current_incarnation) {
  BackendPresence presence = FirstProcess();
  presence.OnReport(kNow, kUnixNow, "i-1", Report(7));
  const auto departure = presence.OnWithdraw(kUnixNow, "i-1", {});
  BOOST_REQUIRE(departure.has_value());
  BOOST_TEST(departure->born.ms == 1'000);
}

// Failure: one report with another service, of a later start, made the node
// ignore all reports of its backend server.
BOOST_AUTO_TEST_CASE(a_report_of_another_service_changes_nothing) {
  BackendPresence presence(kAddress, kSilence, "shop");
  presence.OnDeparturesStored({});
  presence.OnReport(kNow, kUnixNow, "i-1", Report(7));
  for (const char* state : {"ready", "leaving"}) {
    for (const char* id : {"i-odd", "i-1"}) {
      BackendReport odd = Report(1, state);
      odd.service = "elsewhere";
      odd.born = Duration{9'000};
      BOOST_TEST((presence.OnReport(kNow, kUnixNow, id, odd) ==
                  ReportOutcome::kInvalid));
    }
  }
  BOOST_TEST((presence.OnReport(kNow, kUnixNow, "i-1", Report(8)) ==
              ReportOutcome::kAccepted));
  BOOST_TEST(Serves(presence, kNow));
  BOOST_TEST(presence.departures().unstored().empty());
}

BOOST_AUTO_TEST_CASE(a_notice_of_another_backend_server_displaces_none) {
  BackendPresence presence = FirstProcess();
  presence.OnReport(kNow, kUnixNow, "i-1", Report(7));
  presence.OnWithdraw(kUnixNow, "i-2", Duration{9'000});
  BOOST_TEST(Serves(presence, kNow));
}

BOOST_AUTO_TEST_CASE(stored_departures_are_bounded_and_change_no_version) {
  FleetState state;
  FleetCommand command;
  for (int64_t i = 0; i < 100; ++i) {
    command.change =
        RecordDeparture{"n1", {"i-" + std::to_string(i), Duration{1'000 + i}}};
    ApplyCommand(state, command);
    ApplyCommand(state, command);
  }
  BOOST_TEST(state.version == 0u);
  BOOST_TEST(state.history.empty());
  BOOST_TEST(state.operations.empty());
  const std::vector<Departure> stored = StoredDepartures(state, "n1");
  BOOST_TEST(stored.size() == kMaxDeparturesPerNode);
  BOOST_TEST(HasLeft(stored, {"i-99", Duration{1'099}}));
  for (size_t i = 0; i <= kMaxDepartureNodes; ++i) {
    command.change =
        RecordDeparture{"m" + std::to_string(i), {"i-1", Duration{1'000}}};
    ApplyCommand(state, command);
  }
  BOOST_TEST(state.departures.size() == kMaxDepartureNodes);
  BOOST_TEST(StoredDepartures(state, "n1").empty());
}

namespace {

// A node whose process is killed at random, the incarnations of its backend
// server, and control. Messages arrive in any order and at any time.
class RandomRestarts {
 public:
  explicit RandomRestarts(uint64_t seed) : m_random(seed) { Kill(); }

  // Returns false if the node served an incarnation after a departure that it
  // had acknowledged.
  bool Step() {
    switch (Below(12)) {
      case 0:
        Kill();
        break;
      case 1:
        StartIncarnation();
        break;
      case 2:
        Send(Leave{m_id, m_born, Below(2) == 0, Below(3) > 0});
        break;
      case 3:
        m_process->OnDeparturesStored(StoredDepartures(m_control, "n1"));
        Acknowledge();
        break;
      case 4:
        Store();
        break;
      case 5:
      case 6:
        Send(Beat{m_id, m_born, ++m_sequence});
        break;
      default:
        Deliver();
        break;
    }
    const auto current = m_process->Current(kNow);
    return !Serves(*m_process, kNow) ||
           !HasLeft(m_acknowledged, {current->id, BornOf(current->id)});
  }

  int acknowledged() const { return m_count; }

 private:
  struct Beat {
    std::string id;
    Duration born;
    uint64_t sequence = 0;
  };
  struct Leave {
    std::string id;
    Duration born;
    bool as_report = false;
    bool dated = true;
  };
  using Message = std::variant<Beat, Leave>;

  // A message arrives while one of the next incarnations runs at the latest;
  // starts are 1 ms apart.
  static constexpr Duration kLongestDelay{kMaxDeparturesPerNode - 1};

  uint64_t Below(uint64_t bound) { return m_random() % bound; }

  // Each incarnation has an id of its own.
  static Duration BornOf(const std::string& id) {
    return Duration{1'000 + std::stoll(id.substr(2))};
  }

  void Kill() {
    m_process.emplace(kAddress, kSilence);
    m_waiting.clear();
  }
  void StartIncarnation() {
    m_id = "i-" + std::to_string(++m_incarnations);
    m_born = BornOf(m_id);
    m_sequence = 0;
    std::erase_if(m_messages, [this](const Message& message) {
      return std::visit(
          [this](const auto& late) {
            return late.born < m_born - kLongestDelay;
          },
          message);
    });
  }
  void Send(Message message) { m_messages.push_back(std::move(message)); }

  void Deliver() {
    if (m_messages.empty()) {
      return;
    }
    const size_t at = Below(m_messages.size());
    const Message message = m_messages[at];
    // Some messages arrive twice.
    if (Below(4) > 0) {
      m_messages.erase(m_messages.begin() + static_cast<ptrdiff_t>(at));
    }
    std::visit([this](const auto& received) { Receive(received); }, message);
    Acknowledge();
  }
  void Receive(const Beat& beat) {
    BackendReport report = Report(beat.sequence);
    report.born = beat.born;
    m_process->OnReport(kNow, kUnixNow, beat.id, report);
  }
  void Receive(const Leave& leave) {
    if (leave.as_report) {
      BackendReport report = Report(1'000, "leaving");
      report.born = leave.born;
      m_process->OnReport(kNow, kUnixNow, leave.id, report);
    } else {
      m_process->OnWithdraw(
          kUnixNow, leave.id,
          leave.dated ? std::optional(leave.born) : std::nullopt);
    }
    m_waiting.push_back({leave.id, leave.born});
  }

  // Control commits what the current process asks for.
  void Store() {
    for (const Departure& departure : m_process->departures().unstored()) {
      StoreDeparture(m_control, {"n1", departure});
    }
  }
  void Acknowledge() {
    std::erase_if(m_waiting, [&](const Departure& departure) {
      const bool stored = m_process->departures().IsStored(departure);
      if (stored) {
        m_acknowledged.push_back(departure);
        ++m_count;
      }
      return stored;
    });
  }

  std::mt19937_64 m_random;
  std::optional<BackendPresence> m_process;
  FleetState m_control;
  std::string m_id = "i-0";
  Duration m_born{1'000};
  uint64_t m_sequence = 0;
  int m_incarnations = 0;
  std::vector<Message> m_messages;
  std::vector<Departure> m_waiting;
  std::vector<Departure> m_acknowledged;
  int m_count = 0;
};

}  // namespace

// Pattern: kills, late, repeated and overtaking messages in seeded orders. The
// incarnation that left last must not be served again by any process.
BOOST_AUTO_TEST_CASE(no_order_of_kills_and_late_messages_revives_a_departure) {
  int acknowledged = 0;
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    RandomRestarts run(seed);
    for (int step = 0; step < 400; ++step) {
      BOOST_REQUIRE_MESSAGE(run.Step(), "seed " << seed << ", step " << step);
    }
    acknowledged += run.acknowledged();
  }
  BOOST_TEST(acknowledged > 300);
}
