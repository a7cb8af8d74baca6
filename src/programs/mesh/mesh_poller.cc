#include "rosemarywinch/programs/mesh/mesh_poller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "rosemarywinch/adapters/log.h"
#include "rosemarywinch/adapters/wire_codec.h"
#include "rosemarywinch/core/text_value.h"
#include "rosemarywinch/decisions/consensus/replica.h"

namespace rosemarywinch {

namespace {

// A replica that does not answer within this time counts as unreachable.
constexpr Duration kPollTimeout{500};
// Minimum pause between two rounds of polls, also when one is requested.
constexpr Duration kMinPollPause{40};
// Added to kMinPollPause after a round in which every poll failed.
constexpr Duration kUnreachableBackoff{150};
// Pause after a poll that handed a departure to control without learning that
// it is stored.
constexpr Duration kStorePause{100};

std::chrono::milliseconds ToChrono(Duration length) {
  return std::chrono::milliseconds(length.ms);
}

}  // namespace

MeshPoller::MeshPoller(asio::io_context& context,
                       Options options,
                       MeshView& view,
                       BackendProxy& backend_proxy,
                       LinkClient& links,
                       Clock& clock,
                       Metrics& metrics)
    : m_options(std::move(options)),
      m_view(view),
      m_backend_proxy(backend_proxy),
      m_links(links),
      m_clock(clock),
      m_metrics(metrics),
      m_strand(asio::make_strand(context.get_executor())),
      m_timer(m_strand) {}

void MeshPoller::Start() {
  asio::co_spawn(
      m_strand, [this] { return PollLoop(); }, asio::detached);
}

void MeshPoller::SetSeeds(const std::vector<std::string>& addresses) {
  std::scoped_lock lock(m_mutex);
  m_seeds.clear();
  for (const std::string& address : addresses) {
    m_seeds.insert(Ipv4AsUint(address));
  }
  m_seeds.erase(0);
}

void MeshPoller::RequestPoll() {
  if (!m_poll_requested.exchange(true)) {
    Wake();
  }
}

void MeshPoller::RequestTokens() {
  if (!m_tokens_requested.exchange(true)) {
    Wake();
  }
}

void MeshPoller::Wake() {
  asio::post(m_strand, [this] { m_timer.cancel(); });
}

void MeshPoller::BeginLeaving() {
  m_leaving = true;
  RequestPoll();
}

uint32_t MeshPoller::Leader() {
  std::scoped_lock lock(m_mutex);
  return m_leader;
}

ReplicaSearch MeshPoller::BeginSearch() {
  std::scoped_lock lock(m_mutex);
  std::set<uint32_t> others = m_replicas;
  others.insert(m_seeds.begin(), m_seeds.end());
  return {m_leader, others};
}

asio::awaitable<void> MeshPoller::PollLoop() {
  TimePoint next_poll = m_clock.Now();
  while (true) {
    const TimePoint now = m_clock.Now();
    const uint32_t leader = Leader();
    const bool poll_due = m_poll_requested.exchange(false) || now >= next_poll;
    m_tokens_requested = false;
    if (poll_due || leader == 0) {
      const bool answered = co_await PollAnyReplica();
      next_poll = now + (answered ? PauseAfterPoll()
                                  : kMinPollPause + kUnreachableBackoff);
    } else {
      const PollRequest small = MakeSmallRequest();
      const bool confirms = m_confirmation_due.exchange(false);
      if ((confirms || !small.quotas.empty()) &&
          !co_await PollOnce(leader, small)) {
        next_poll = now;
      }
    }
    boost::system::error_code ignored;
    m_timer.expires_after(ToChrono(kMinPollPause));
    co_await m_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    m_timer.expires_after(ToChrono(next_poll - m_clock.Now()));
    if (!m_poll_requested && !m_tokens_requested && !m_confirmation_due) {
      co_await m_timer.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
  }
}

// A departure is acknowledged once it is stored, so that the next poll, which
// learns of it, is not delayed.
Duration MeshPoller::PauseAfterPoll() const {
  return m_backend_proxy.UnstoredDepartures().empty() ? m_options.interval
                                                      : kStorePause;
}

asio::awaitable<bool> MeshPoller::PollAnyReplica() {
  ReplicaSearch search = BeginSearch();
  while (const auto replica = search.Next()) {
    if (co_await PollOnce(*replica, MakeRequest())) {
      co_return true;
    }
    search.OnNamed(Leader());
  }
  co_return false;
}

asio::awaitable<bool> MeshPoller::PollOnce(uint32_t replica,
                                           PollRequest request) {
  const TimePoint sent = m_clock.Now();
  const ExchangeResult result = co_await m_links.Exchange(
      AddressFromIpv4(replica, m_options.control_port), FrameType::kPollRequest,
      ToWire(request), kPollTimeout, std::make_shared<CancellationToken>());
  const Outcome<Done> outcome = Capture(
      [&] { return ApplyReply(replica, sent, request.tokens_only, result); });
  const auto* error = std::get_if<Error>(&outcome);
  const Duration took = m_clock.Now() - sent;
  m_metrics.Add("control_polls_total");
  m_metrics.Set("control_poll_ms", static_cast<double>(took.ms));
  if (error == nullptr) {
    LogReachability(true, "");
    co_return true;
  }
  m_metrics.Add("control_poll_failures_total");
  std::scoped_lock lock(m_mutex);
  if (m_leader == replica) {
    LogEvent(LogLevel::kInfo, "poll_failed",
             {{"replica", AddressFromIpv4(replica, m_options.control_port)},
              {"answered",
               result.status == ExchangeStatus::kReplied ? "true" : "false"},
              {"took_ms", std::to_string(took.ms)},
              {"why", error->Message()}});
  }
  if (m_leader == replica) {
    m_leader = 0;
  }
  if (error->id == ErrorId::kNotLeader) {
    m_leader = ParseWhole<uint32_t>(error->detail).value_or(m_leader);
  }
  LogReachability(false, error->Message());
  co_return false;
}

Result<Done> MeshPoller::ApplyReply(uint32_t replica,
                                    TimePoint sent,
                                    bool tokens_only,
                                    const ExchangeResult& result) {
  if (result.status != ExchangeStatus::kReplied) {
    return Fail(ErrorId::kUnreachable,
                AddressFromIpv4(replica, m_options.control_port));
  }
  BOOST_LEAF_AUTO(reply, FromWire<PollReply>(result.payload));
  if (!reply.response) {
    return Fail(reply.error, reply.detail);
  }
  if (tokens_only) {
    return m_view.ApplyTokenPoll(sent, *reply.response);
  }
  std::scoped_lock lock(m_mutex);
  m_leader = replica;
  m_replicas = {reply.response->replicas.begin(),
                reply.response->replicas.end()};
  BOOST_LEAF_CHECK(m_view.ApplyEvacuations(*reply.response));
  m_backend_proxy.SetEvacuated(m_view.IsLocalEvacuated());
  const uint64_t held = m_view.ConfigurationVersion();
  BOOST_LEAF_CHECK(m_view.ApplyPoll(sent, *reply.response));
  if (m_view.ConfigurationVersion() != held) {
    // The operator waits for the confirmation. A whole poll would report loads
    // that were measured over too short a time.
    m_confirmation_due = true;
  }
  if (reply.response->departures_known) {
    m_backend_proxy.OnDeparturesStored(reply.response->departures);
  }
  return Done{};
}

PollRequest MeshPoller::MakeSmallRequest() {
  PollRequest request;
  request.protocol_version = consensus::kProtocolVersion;
  request.node = m_options.node;
  request.sequence = ++m_sequence;
  m_view.FillTokenPoll(request);
  return request;
}

PollRequest MeshPoller::MakeRequest() {
  PollRequest request;
  request.protocol_version = consensus::kProtocolVersion;
  request.node = m_options.node;
  request.sequence = ++m_sequence;
  request.leaving = m_leaving;
  request.member.node = m_options.node;
  request.member.address = m_options.peer_address;
  request.member.data_centre = m_options.data_centre;
  if (const auto backend = m_backend_proxy.Current()) {
    request.member.service = backend->service;
    request.member.state = backend->state;
    request.member.slots = backend->slots;
    request.load = m_backend_proxy.TakeLoad();
    request.usage = m_backend_proxy.TakeUsage();
    request.member.cold_rate = backend->cold_rate;
  }
  request.departures = m_backend_proxy.UnstoredDepartures();
  request.wants_departures = !m_backend_proxy.DeparturesRestored();
  m_view.FillPoll(request);
  return request;
}

void MeshPoller::LogReachability(bool reachable, const std::string& reason) {
  if (std::exchange(m_reachable, reachable) != reachable) {
    LogEvent(LogLevel::kInfo, reachable ? "control_regained" : "control_lost",
             {{"why", reason}});
  }
}

}  // namespace rosemarywinch
