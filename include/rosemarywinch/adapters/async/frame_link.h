#ifndef ROSEMARYWINCH_ADAPTERS_ASYNC_FRAME_LINK_H_
#define ROSEMARYWINCH_ADAPTERS_ASYNC_FRAME_LINK_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "rosemarywinch/adapters/async/frame_stream.h"
#include "rosemarywinch/adapters/async/link_traffic.h"
#include "rosemarywinch/adapters/async/net.h"
#include "rosemarywinch/decisions/traffic/memory_budget.h"
#include "rosemarywinch/schema/link.h"

namespace rosemarywinch {

/// What the links of a process share. Null: not counted, not bounded.
struct LinkResources {
  LinkTraffic* traffic = nullptr;
  MemoryBudget* memory = nullptr;
};

/// A connection between two processes of the fleet that multiplexes the frames
/// of many exchanges. Its state is accessed on one strand only.
///
/// While an exchange is open, or soon after a one-way frame, the link is
/// watched: it sends pings, and is closed when nothing is received for
/// kDeadPeerTimeout, since the peer may be gone without having closed the
/// connection. An idle link costs nothing; the first request after a pause is
/// held until the peer has answered a ping, so that a link that died meanwhile
/// loses no request.
class FrameLink : public std::enable_shared_from_this<FrameLink> {
 public:
  /// Called on the strand of the link for every frame but pings and pongs.
  using OnFrame =
      std::function<void(const std::shared_ptr<FrameLink>& link, Frame frame)>;
  /// Called once, on the strand, when the link has closed.
  using OnClosed = std::function<void(const std::shared_ptr<FrameLink>& link)>;

  FrameLink(asio::io_context& context,
            OnFrame on_frame,
            OnClosed on_closed,
            LinkResources resources = {});

  /// Takes ownership of an accepted connection.
  void Accept(Tcp::socket socket);

  /// Connects asynchronously; frames sent meanwhile are queued.
  void Connect(const std::string& address);

  /// Sends a frame; thread-safe. Frames sent on a closed link are lost.
  void Send(Frame frame);

  /// Sets where the peer is, for the counters; thread-safe.
  void SetPlace(PeerPlace place) { m_place = place; }

  /// Closes the link; thread-safe.
  void Close();

  /// Returns whether the link was ever open; call it on the strand.
  bool connected() const { return m_connected; }

  /// Returns whether the requests of the open exchanges are held until the
  /// peer answers a ping: it has not received them. Call it on the strand.
  bool holds_requests() const { return m_verifying; }

  /// Returns whether the link has closed; thread-safe. It is closed before its
  /// OnClosed is called.
  bool closed() const { return m_closed; }

  const Strand& strand() const { return m_strand; }

  /// Time without received data after which the peer counts as dead.
  static constexpr Duration kDeadPeerTimeout{1'600};
  static constexpr Duration kPingInterval{500};
  /// Time without received data after which a request is held first.
  static constexpr Duration kFreshFor{1'000};
  /// Time that the peer has to answer before a held request is given up.
  static constexpr Duration kVerifyTimeout{400};

 private:
  using SteadyTime = std::chrono::steady_clock::time_point;

  asio::awaitable<void> ConnectAndRun(std::string address);
  void StartLoops();
  asio::awaitable<void> ReadLoop();
  asio::awaitable<void> WriteLoop();
  asio::awaitable<void> KeepAliveLoop();
  void HandleFrame(Frame frame, uint64_t bytes);
  void SendOnStrand(Frame frame);
  void Write(Frame frame);
  void BeginVerification(SteadyTime now);
  void OnData();
  void CountFrame(FrameType type, bool sent);
  void Watch(SteadyTime now);
  bool IsWatched(SteadyTime now) const;
  bool IsDead(SteadyTime now) const;
  Duration CheckInterval() const;
  void CloseOnStrand();

  Strand m_strand;
  Tcp::socket m_socket;
  const OnFrame m_on_frame;
  OnClosed m_on_closed;
  const LinkResources m_resources;
  std::atomic<PeerPlace> m_place = PeerPlace::kUnknown;
  FrameQueue m_outgoing;
  asio::steady_timer m_output_ready;
  asio::steady_timer m_check;
  SteadyTime m_last_received;
  /// Begin of the silence that counts: the last data received, or the begin of
  /// the watch if that is later.
  SteadyTime m_silent_since;
  SteadyTime m_last_one_way;
  uint32_t m_open_exchanges = 0;
  bool m_watching = false;
  bool m_connected = false;
  bool m_verifying = false;
  /// Frames to be sent once the peer has answered.
  std::vector<Frame> m_held;
  std::atomic<bool> m_closed = false;
};

/// Accepts links on one address.
class FrameListener {
 public:
  FrameListener(asio::io_context& context,
                FrameLink::OnFrame on_frame,
                FrameLink::OnClosed on_closed,
                LinkResources resources = {});

  /// Starts accepting links. Errors: kBadValue, kPortInUse.
  Result<Done> Start(const std::string& address);

 private:
  asio::io_context& m_context;
  const FrameLink::OnFrame m_on_frame;
  const FrameLink::OnClosed m_on_closed;
  const LinkResources m_resources;
  std::unique_ptr<Tcp::acceptor> m_acceptor;
};

}  // namespace rosemarywinch

#endif  // ROSEMARYWINCH_ADAPTERS_ASYNC_FRAME_LINK_H_
