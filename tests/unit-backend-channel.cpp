#define BOOST_TEST_MODULE backend_channel
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>
#include <vector>

#include "support/backend_caller.h"
#include "support/scripted_peer.h"

// Pattern: a backend server in trouble. It sends an answer twice, breaks one
// off, or sends bytes without end.

using namespace rosemarywinch;
using test::BackendCaller;
using test::PeerConnection;
using test::ScriptedPeer;

namespace {

// Limits of the channel, and what sockets hold beside them.
constexpr uint64_t kMaxResponseBytes = 16'777'216;
constexpr uint64_t kMaxTogether = 2 * 33'554'432;
constexpr uint64_t kMaxHeadBytes = 65'536;
constexpr uint64_t kSocketBytes = 8'388'608;
const std::string kOk = "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n";
const std::string kBlock(65'536, 'x');

std::string Answer(const std::string& id) {
  return kOk + "X-Request-Id: " + id + "\r\nContent-Length: 2\r\n\r\n" + id;
}

std::string IdOf(const std::string& request) {
  const std::string name = "X-Request-Id: ";
  const size_t at = request.find(name);
  return at == std::string::npos ? "" : request.substr(at + name.size(), 2);
}

// Returns the status of a request that is answered with `text`; the connection
// then ends, with a reset if `reset`.
BackendCallStatus StatusAfter(const std::string& text, bool reset = false) {
  ScriptedPeer peer([&](PeerConnection& connection) {
    connection.ReadRequest();
    connection.Write(text);
    if (reset) {
      connection.Reset();
    }
  });
  return BackendCaller(peer.Address()).Send("a1").status;
}

// Returns how many bytes a peer can send that begins with `head` and repeats
// `block`; the request must fail.
uint64_t BytesTaken(const std::string& head, const std::string& block) {
  std::atomic<uint64_t> bytes = 0;
  {
    ScriptedPeer peer([&](PeerConnection& connection) {
      connection.ReadRequest();
      connection.Write(head);
      bytes = connection.WriteWithoutEnd(block);
    });
    BOOST_TEST((BackendCaller(peer.Address()).Send("a1").status ==
                BackendCallStatus::kBroken));
  }
  return bytes;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_second_copy_of_an_answer_reaches_no_later_request) {
  ScriptedPeer peer([](PeerConnection& connection) {
    const std::string first = IdOf(connection.ReadRequest());
    connection.Write(Answer(first));
    // The copy comes after the connection is in use again.
    const std::string second = IdOf(connection.ReadRequest());
    connection.Write(Answer(first));
    connection.Write(Answer(second));
  });
  BackendCaller caller(peer.Address());
  BOOST_TEST(caller.Send("a1").response.body == "a1");
  BOOST_TEST(caller.Send("a2").response.body == "a2");
  BOOST_TEST(peer.connections() == 1);
}

BOOST_AUTO_TEST_CASE(a_second_copy_of_a_refusal_refuses_no_later_request) {
  const std::string head =
      "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n";
  for (const std::string& refusal :
       {head + "X-Request-Id: a1\r\n\r\n", head + "\r\n"}) {
    ScriptedPeer peer([&](PeerConnection& connection) {
      connection.ReadRequest();
      connection.Write(refusal);
      const std::string second = IdOf(connection.ReadRequest());
      connection.Write(refusal);
      connection.Write(Answer(second));
    });
    BackendCaller caller(peer.Address());
    BOOST_TEST(caller.Send("a1").response.status == 503);
    BOOST_TEST(caller.Send("a2").response.body == "a2");
  }
}

// Failure: the copy of an earlier refusal passed as the refusal of a request
// that had run, so that its caller sent it again.
BOOST_AUTO_TEST_CASE(a_copy_of_a_refusal_never_tells_not_run) {
  const std::string busy = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n";
  const std::string slow = "HTTP/1.1 429 Slow\r\nX-Not-Executed: 1\r\n";
  const std::string other = "HTTP/1.1 421 Misdirected\r\n";
  const std::string bad = "HTTP/1.1 400 Bad\r\nX-Not-Executed: 1\r\n";
  const std::string end = "Content-Length: 0\r\n\r\n";
  for (const std::string& head : {busy, slow, other, bad}) {
    for (const std::string& text :
         {head + "X-Request-Id: a1\r\n" + end, head + end}) {
      ScriptedPeer peer([&](PeerConnection& connection) {
        connection.ReadRequest();
        connection.Write(text);
        // The second request runs; the copy is all that is written.
        connection.ReadRequest();
        connection.Write(text);
      });
      BackendCaller caller(peer.Address());
      BOOST_TEST((caller.Send("a1").status == BackendCallStatus::kAnswered));
      BOOST_TEST((caller.Send("a2").status == BackendCallStatus::kBroken),
                 text);
      BOOST_TEST(peer.connections() == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(bytes_after_an_answer_end_the_use_of_a_connection) {
  ScriptedPeer peer([](PeerConnection& connection) {
    const std::string id = IdOf(connection.ReadRequest());
    connection.Write(Answer(id) + "junk");
    connection.ReadRequest();
  });
  BackendCaller caller(peer.Address());
  BOOST_TEST(caller.Send("a1").response.body == "a1");
  BOOST_TEST(caller.Send("a2").response.body == "a2");
  BOOST_TEST(peer.connections() == 2);
}

BOOST_AUTO_TEST_CASE(an_answer_that_breaks_off_is_no_success) {
  const std::string id = "X-Request-Id: a1\r\n";
  const std::string sized = kOk + id + "Content-Length: 100\r\n\r\nhalf";
  const std::string chunked =
      kOk + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
  for (const std::string& text :
       {sized, chunked, kOk + id, std::string("HTTP/1.1 2"), std::string()}) {
    BOOST_TEST((StatusAfter(text) == BackendCallStatus::kBroken));
    BOOST_TEST((StatusAfter(text, true) == BackendCallStatus::kBroken));
  }
}

// Failure: an answer that broke off in its head reached the caller as a success
// with an empty or a short body.
BOOST_AUTO_TEST_CASE(an_answer_that_breaks_off_anywhere_is_no_success) {
  const std::string sized = Answer("a1");
  const std::string chunked =
      kOk +
      "X-Request-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na1\r\n0\r\n"
      "\r\n";
  for (const std::string& text : {sized, chunked}) {
    for (size_t length = 0; length < text.size(); ++length) {
      BOOST_TEST(
          (StatusAfter(text.substr(0, length)) == BackendCallStatus::kBroken),
          length << " bytes of the answer pass as a whole one");
    }
    BOOST_TEST((StatusAfter(text) == BackendCallStatus::kAnswered));
  }
}

BOOST_AUTO_TEST_CASE(an_answer_without_length_is_complete_unless_reset) {
  const std::string text = kOk + "X-Request-Id: a1\r\n\r\nall";
  BOOST_TEST((StatusAfter(text) == BackendCallStatus::kAnswered));
  BOOST_TEST((StatusAfter(text, true) == BackendCallStatus::kBroken));
}

BOOST_AUTO_TEST_CASE(an_encoded_body_is_not_the_server_s_own) {
  WireProtocol protocol;
  HttpResponse response;
  response.status = 200;
  response.headers.Add("X-Request-Id", "a1");
  response.headers.Add("X-Server-Seal", "s");
  HopRequest hop;
  hop.request_id = "a1";
  BOOST_TEST(protocol.ReadBackendAnswer(hop, response).authentic);
  response.headers.Add("Content-Encoding", "gzip");
  BOOST_TEST(!protocol.ReadBackendAnswer(hop, response).authentic);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_answer_fail_at_once) {
  BOOST_TEST(BytesTaken("", kBlock) < kSocketBytes);
  BOOST_TEST(BytesTaken("\r\n", "\r\n\r\n") < kSocketBytes);
}

BOOST_AUTO_TEST_CASE(a_head_without_end_is_closed_at_its_limit) {
  for (const char* block : {"X-A: b\r\n", "x"}) {
    BOOST_TEST(BytesTaken(kOk + "X-Long: ", block) <
               kMaxHeadBytes + kSocketBytes);
  }
  // Interim answers without end.
  BOOST_TEST(BytesTaken("", "HTTP/1.1 100 Continue\r\n\r\n") < kSocketBytes);
}

BOOST_AUTO_TEST_CASE(a_body_without_end_is_closed_at_its_limit) {
  const std::string id = "X-Request-Id: a1\r\n";
  const std::string chunked = kOk + id + "Transfer-Encoding: chunked\r\n\r\n";
  const uint64_t limit = kMaxResponseBytes + kSocketBytes;
  BOOST_TEST(BytesTaken(kOk + id + "\r\n", kBlock) < limit);
  BOOST_TEST(BytesTaken(kOk + id + "Content-Length: 900000000000\r\n\r\n",
                        kBlock) < limit);
  BOOST_TEST(BytesTaken(chunked, "10000\r\n" + kBlock + "\r\n") < limit);
  // The size, the extension or the trailer of a chunk does not end.
  BOOST_TEST(BytesTaken(chunked, "0") < limit);
  BOOST_TEST(BytesTaken(chunked + "1;", kBlock) < limit);
  BOOST_TEST(BytesTaken(chunked + "0\r\n", "X-A: b\r\n") < limit);
}

BOOST_AUTO_TEST_CASE(many_bodies_without_end_share_one_limit) {
  constexpr int kEndless = 12;
  std::atomic<uint64_t> bytes = 0;
  std::vector<BackendResult> results;
  {
    ScriptedPeer peer([&](PeerConnection& connection) {
      const std::string id = IdOf(connection.ReadRequest());
      if (id == "ok") {
        connection.Write(Answer(id));
        return;
      }
      connection.Write(kOk + "X-Request-Id: " + id + "\r\n\r\n");
      bytes += connection.WriteWithoutEnd(kBlock);
    });
    BackendCaller caller(peer.Address());
    for (int i = 0; i < kEndless; ++i) {
      caller.Start("e" + std::to_string(i % 10));
    }
    caller.Start("ok");
    results = caller.Finish();
  }
  BOOST_TEST((results.back().status == BackendCallStatus::kAnswered));
  for (int i = 0; i < kEndless; ++i) {
    BOOST_TEST((results[i].status == BackendCallStatus::kBroken));
  }
  BOOST_TEST(bytes < kMaxTogether + kEndless * kSocketBytes);
}
