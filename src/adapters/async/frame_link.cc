#include "rosemarywinch/adapters/async/frame_link.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <utility>

namespace rosemarywinch {

namespace {

using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

constexpr size_t kReadBytes = 16'384;
constexpr Duration kConnectTimeout{800};
// A loop that wakes this late counts as a stall of this process.
constexpr Duration kStallThreshold{400};
// The peer is checked for this long after a one-way frame, which no reply
// follows.
constexpr Duration kOneWayWatch{4'000};

std::chrono::milliseconds ToChrono(Duration length) {
  return std::chrono::milliseconds(length.ms);
}

bool OpensExchange(FrameType type) {
  return type == FrameType::kHopRequest || type == FrameType::kPollRequest;
}

bool EndsExchange(FrameType type) {
  return type == FrameType::kHopResponse || type == FrameType::kPollReply;
}

}  // namespace

FrameLink::FrameLink(asio::io_context& context,
                     OnFrame on_frame,
                     OnClosed on_closed,
                     LinkResources resources)
    : m_strand(asio::make_strand(context.get_executor())),
      m_socket(m_strand),
      m_on_frame(std::move(on_frame)),
      m_on_closed(std::move(on_closed)),
      m_resources(resources),
      m_output_ready(m_strand, SteadyClock::time_point::max()),
      m_check(m_strand, SteadyClock::time_point::max()),
      m_last_received(SteadyClock::now()) {}

void FrameLink::Accept(Tcp::socket socket) {
  asio::post(m_strand,
             [self = shared_from_this(), socket = std::make_shared<Tcp::socket>(
                                             std::move(socket))]() mutable {
               self->m_socket = std::move(*socket);
               self->StartLoops();
             });
}

void FrameLink::Connect(const std::string& address) {
  asio::co_spawn(
      m_strand,
      [self = shared_from_this(), address] {
        return self->ConnectAndRun(address);
      },
      asio::detached);
}

void FrameLink::Send(Frame frame) {
  asio::post(m_strand,
             [self = shared_from_this(), frame = std::move(frame)]() mutable {
               self->SendOnStrand(std::move(frame));
             });
}

void FrameLink::SendOnStrand(Frame frame) {
  const auto now = SteadyClock::now();
  const bool stale = m_connected && m_open_exchanges == 0 &&
                     now >= m_last_received + ToChrono(kFreshFor);
  if (stale && OpensExchange(frame.type)) {
    BeginVerification(now);
  }
  CountFrame(frame.type, /*sent=*/true);
  if (frame.type == FrameType::kPeerMessage) {
    m_last_one_way = now;
  }
  Watch(now);
  if (m_verifying) {
    m_held.push_back(std::move(frame));
  } else {
    Write(std::move(frame));
  }
}

void FrameLink::Write(Frame frame) {
  if (m_resources.traffic != nullptr) {
    m_resources.traffic->Count(LinkTraffic::Direction::kSent, frame.type,
                               m_place,
                               kFrameHeaderBytes + frame.payload.size());
  }
  m_outgoing.Add(std::move(frame));
  m_output_ready.cancel();
}

// Sends a ping; the frames that follow are held until the peer is heard.
void FrameLink::BeginVerification(SteadyTime now) {
  m_verifying = true;
  m_silent_since = now;
  Write({FrameType::kPing, 0, ""});
  m_check.cancel();
}

void FrameLink::OnData() {
  m_last_received = SteadyClock::now();
  m_silent_since = m_last_received;
  if (std::exchange(m_verifying, false)) {
    for (Frame& frame : std::exchange(m_held, {})) {
      Write(std::move(frame));
    }
  }
}

void FrameLink::CountFrame(FrameType type, bool sent) {
  if (OpensExchange(type)) {
    ++m_open_exchanges;
  } else if (EndsExchange(type) && m_open_exchanges > 0) {
    --m_open_exchanges;
  }
  if (!sent) {
    Watch(SteadyClock::now());
  }
}

// Wakes the check of the peer if it is paused and has work now.
void FrameLink::Watch(SteadyTime now) {
  if (!m_watching && IsWatched(now)) {
    m_watching = true;
    m_silent_since = now;
    m_check.cancel();
  }
}

bool FrameLink::IsWatched(SteadyTime now) const {
  return m_open_exchanges > 0 || now < m_last_one_way + ToChrono(kOneWayWatch);
}

bool FrameLink::IsDead(SteadyTime now) const {
  const Duration limit = m_verifying ? kVerifyTimeout : kDeadPeerTimeout;
  return now >= m_silent_since + ToChrono(limit);
}

Duration FrameLink::CheckInterval() const {
  return m_verifying ? kVerifyTimeout : kPingInterval;
}

void FrameLink::Close() {
  asio::post(m_strand, [self = shared_from_this()] { self->CloseOnStrand(); });
}

asio::awaitable<void> FrameLink::ConnectAndRun(std::string address) {
  const Outcome<Tcp::endpoint> endpoint =
      Capture([&] { return ParseEndpoint(address); });
  const auto* target = std::get_if<Tcp::endpoint>(&endpoint);
  if (target == nullptr) {
    CloseOnStrand();
    co_return;
  }
  error_code error;
  co_await rosemarywinch::Connect(m_socket, *target, kConnectTimeout, error);
  if (error || m_closed) {
    CloseOnStrand();
    co_return;
  }
  StartLoops();
}

void FrameLink::StartLoops() {
  m_connected = true;
  SetConnectionOptions(m_socket, kDeadPeerTimeout);
  m_last_received = SteadyClock::now();
  m_silent_since = m_last_received;
  const auto self = shared_from_this();
  const auto spawn = [&](auto loop) {
    asio::co_spawn(
        m_strand, [self, loop] { return ((*self).*loop)(); }, asio::detached);
  };
  spawn(&FrameLink::ReadLoop);
  spawn(&FrameLink::WriteLoop);
  spawn(&FrameLink::KeepAliveLoop);
}

asio::awaitable<void> FrameLink::ReadLoop() {
  FrameReader reader(m_resources.memory);
  std::array<char, kReadBytes> chunk;
  while (!m_closed && !reader.failed()) {
    error_code error;
    const size_t count = co_await m_socket.async_read_some(
        asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
    OnData();
    reader.Append({chunk.data(), count});
    while (std::optional<Frame> frame = reader.Next()) {
      HandleFrame(std::move(*frame), reader.frame_bytes());
    }
  }
  CloseOnStrand();
}

void FrameLink::HandleFrame(Frame frame, uint64_t bytes) {
  if (m_resources.traffic != nullptr) {
    m_resources.traffic->Count(LinkTraffic::Direction::kReceived, frame.type,
                               m_place, bytes);
  }
  CountFrame(frame.type, /*sent=*/false);
  if (frame.type == FrameType::kPing) {
    Write({FrameType::kPong, frame.exchange, ""});
  } else if (frame.type != FrameType::kPong) {
    m_on_frame(shared_from_this(), std::move(frame));
  }
}

asio::awaitable<void> FrameLink::WriteLoop() {
  while (!m_closed) {
    if (m_outgoing.empty()) {
      error_code ignored;
      co_await m_output_ready.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
      continue;
    }
    const std::vector<std::string> parts = m_outgoing.Take();
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(parts.size());
    for (const std::string& part : parts) {
      buffers.push_back(asio::buffer(part));
    }
    error_code error;
    co_await asio::async_write(
        m_socket, buffers, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
  }
  CloseOnStrand();
}

// Checks the peer while the link is watched, and sleeps otherwise.
asio::awaitable<void> FrameLink::KeepAliveLoop() {
  while (!m_closed) {
    auto now = SteadyClock::now();
    m_watching = IsWatched(now);
    m_check.expires_at(m_watching ? now + ToChrono(CheckInterval())
                                  : SteadyTime::max());
    error_code ignored;
    co_await m_check.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    now = SteadyClock::now();
    if (!IsWatched(now) || now < m_check.expiry()) {
      continue;
    }
    // This process itself was stalled, so missing data says nothing about the
    // peer.
    if (now >= m_check.expiry() + ToChrono(kStallThreshold)) {
      m_silent_since = now;
    }
    if (IsDead(now)) {
      break;
    }
    if (now >= m_silent_since + ToChrono(kPingInterval)) {
      Write({FrameType::kPing, 0, ""});
    }
  }
  CloseOnStrand();
}

void FrameLink::CloseOnStrand() {
  if (m_closed) {
    return;
  }
  m_closed = true;
  error_code ignored;
  m_socket.close(ignored);
  m_output_ready.cancel();
  m_check.cancel();
  if (const OnClosed callback = std::exchange(m_on_closed, nullptr)) {
    callback(shared_from_this());
  }
}

FrameListener::FrameListener(asio::io_context& context,
                             FrameLink::OnFrame on_frame,
                             FrameLink::OnClosed on_closed,
                             LinkResources resources)
    : m_context(context),
      m_on_frame(std::move(on_frame)),
      m_on_closed(std::move(on_closed)),
      m_resources(resources) {}

Result<Done> FrameListener::Start(const std::string& address) {
  BOOST_LEAF_AUTO(acceptor, Listen(m_context.get_executor(), address));
  m_acceptor = std::make_unique<Tcp::acceptor>(std::move(acceptor));
  asio::co_spawn(
      m_context,
      [this] {
        return AcceptConnections(
            *m_acceptor, m_context.get_executor(), [this](Tcp::socket socket) {
              std::make_shared<FrameLink>(m_context, m_on_frame, m_on_closed,
                                          m_resources)
                  ->Accept(std::move(socket));
            });
      },
      asio::detached);
  return Done{};
}

}  // namespace rosemarywinch
