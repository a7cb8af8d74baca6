#define BOOST_TEST_MODULE broken_answers
#include <boost/test/unit_test.hpp>

#include <boost/asio/use_future.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "rosemarywinch/adapters/curl_channel.h"
#include "rosemarywinch/adapters/wire_codec.h"
#include "rosemarywinch/programs/backend_dispatcher.h"
#include "rosemarywinch/programs/mesh/hop_client.h"
#include "support/backend_caller.h"
#include "support/fakes.h"
#include "support/scripted_peer.h"

// Pattern: a backend server in trouble. It sends answers that are no HTTP,
// which must not reach a caller, neither as they are nor with another body.

using namespace rosemarywinch;
using test::BackendCaller;
using test::PeerConnection;
using test::ScriptedPeer;

namespace {

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kOwn = "X-Request-Id: a1\r\nX-Server-Seal: s\r\n";
const std::string kSized = "Content-Length: 4\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kBody = "\r\nbody";

// A way to read an answer. Returns nothing for one that counts as broken.
struct Reader {
  std::string name;
  std::function<std::optional<HttpResponse>(const std::string& address)> read;
};

std::optional<HttpResponse> ReadInMesh(const std::string& address) {
  BackendResult result = BackendCaller(address).Send("a1");
  if (result.status != BackendCallStatus::kAnswered) {
    BOOST_TEST((result.status == BackendCallStatus::kBroken));
    return std::nullopt;
  }
  return std::move(result.response);
}

std::optional<HttpResponse> ReadOnOwnInterface(const std::string& address) {
  CurlChannel channel;
  HttpResult result =
      channel.Send(address, HttpRequestBuilder("GET", "/").Build(), {});
  if (auto* response = std::get_if<HttpResponse>(&result)) {
    return std::move(*response);
  }
  // The request may have run.
  BOOST_TEST(std::holds_alternative<ResponseLost>(result));
  return std::nullopt;
}

const std::vector<Reader> kReaders{{"mesh", ReadInMesh},
                                   {"own interface", ReadOnOwnInterface}};

// Returns what `reader` makes of an answer; the connection then ends.
std::optional<HttpResponse> Read(const Reader& reader,
                                 const std::string& text) {
  ScriptedPeer peer([&](PeerConnection& connection) {
    connection.ReadRequest();
    connection.Write(text);
  });
  return reader.read(peer.Address());
}

void ExpectBroken(const std::vector<std::string>& texts) {
  for (const Reader& reader : kReaders) {
    for (const std::string& text : texts) {
      BOOST_TEST(!Read(reader, text).has_value(), reader.name << ": " << text);
    }
  }
}

// Expects each of the answers to pass with the status 200 and the body "body".
void ExpectSound(const std::vector<std::string>& texts) {
  for (const Reader& reader : kReaders) {
    for (const std::string& text : texts) {
      const auto response = Read(reader, text);
      BOOST_TEST(
          (response && response->status == 200 && response->body == "body"),
          reader.name << ": " << text);
    }
  }
}

// Returns the answers that have each of the lines in an otherwise sound head.
std::vector<std::string> WithLines(const std::vector<std::string>& lines) {
  std::vector<std::string> texts;
  for (const std::string& line : lines) {
    texts.push_back(kOk + kOwn + line + "\r\n" + kSized + kBody);
  }
  return texts;
}

// Returns the answers that state their framing by each of the texts.
std::vector<std::string> WithFraming(const std::vector<std::string>& framings) {
  std::vector<std::string> texts;
  for (const std::string& framing : framings) {
    texts.push_back(kOk + kOwn + framing);
  }
  return texts;
}

// Returns what a node makes of a reply that another node sends it.
HopResponse CallNode(const HopResponse& reply) {
  asio::io_context context;
  FrameListener other(
      context,
      [&](const std::shared_ptr<FrameLink>& link, const Frame& frame) {
        link->Send({FrameType::kHopResponse, frame.exchange, ToWire(reply)});
      },
      [](const std::shared_ptr<FrameLink>&) {});
  Member member;
  member.node = "other";
  member.address = "127.0.0.1:" + std::to_string(test::FreePort());
  BOOST_REQUIRE(other.Start(member.address));
  WireProtocol protocol;
  test::FakeClock clock;
  BackendProxy local("127.0.0.1:1", {1'000}, 1, protocol, clock, "shop");
  LinkClient links(context);
  HopClient hops("self", "dc", local, links, clock);
  HopRequest request;
  request.time_left = {5'000};
  auto response = asio::co_spawn(
      context,
      hops.Call(member, request, std::make_shared<CancellationToken>()),
      asio::use_future);
  while (response.wait_for(std::chrono::seconds(0)) !=
         std::future_status::ready) {
    context.run_one();
  }
  return response.get();
}

}  // namespace

// Failure: an answer with the status 000 reached its client.
BOOST_AUTO_TEST_CASE(a_status_outside_the_protocol_is_no_answer) {
  std::vector<std::string> texts;
  for (const char* status : {"000", "001", "042", "099", "600", "777", "999",
                             "2000", "20", "2x0", "-20", ""}) {
    texts.push_back("HTTP/1.1 " + std::string(status) + " OK\r\n" + kOwn +
                    kSized + kBody);
  }
  ExpectBroken(texts);
}

BOOST_AUTO_TEST_CASE(a_malformed_status_line_is_no_answer) {
  std::vector<std::string> texts;
  for (const char* line :
       {"HTTP/1.2 200 OK", "HTTP/2 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1200 OK",
        "http/1.1 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
        " HTTP/1.1 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK",
        "HTTP/1.1 200\tOK", "ICY 200 OK"}) {
    texts.push_back(line + ("\r\n" + kOwn) + kSized + kBody);
  }
  ExpectBroken(texts);
}

// Failure: a head with a blank or a control byte in a name reached the client,
// or its body was another one.
BOOST_AUTO_TEST_CASE(a_field_whose_name_is_no_token_is_no_answer) {
  std::vector<std::string> lines{"X A: b",   " X-A: b",  "X-A : b",
                                 "X-A\t: b", "\tX-A: b", ": b",
                                 "X-A",      "X\xe9: b", "Content-Length : 2"};
  for (const char byte : std::string("\"(),/;<=>?@[\\]{}")) {
    lines.push_back(std::string("X") + byte + "A: b");
  }
  for (char byte = 0; byte < ' '; ++byte) {
    lines.push_back(std::string("X") + byte + "A: b");
  }
  lines.push_back(
      "X\x7f"
      "A: b");
  ExpectBroken(WithLines(lines));
}

BOOST_AUTO_TEST_CASE(a_control_byte_in_a_value_is_no_answer) {
  std::vector<std::string> lines{"X-A: b\x7f"};
  for (char byte = 0; byte < ' '; ++byte) {
    if (byte != '\t') {
      lines.push_back("X-A: b" + std::string(1, byte) + "c");
    }
  }
  ExpectBroken(WithLines(lines));
}

// Failure: a length in a folded line was not seen, so that the body was another
// one.
BOOST_AUTO_TEST_CASE(a_folded_line_is_no_answer) {
  ExpectBroken(WithLines({"X-A: b\r\n c", "X-A: b\r\n\tc", "X-A:\r\n b",
                          "X-A: b\r\n Content-Length: 2"}));
}

BOOST_AUTO_TEST_CASE(a_line_that_ends_with_a_line_feed_alone_is_no_answer) {
  ExpectBroken({"HTTP/1.1 200 OK\n" + kOwn + kSized + kBody,
                kOk + kOwn + "X-A: b\n" + kSized + kBody,
                kOk + kOwn + kSized + "\nbody", "\r\n" + kOk + kOwn + kBody});
}

BOOST_AUTO_TEST_CASE(a_body_of_unclear_length_is_no_answer) {
  ExpectBroken(WithFraming(
      {"Content-Length: x\r\n" + kBody, "Content-Length: 4x\r\n" + kBody,
       "Content-Length: +4\r\n" + kBody, "Content-Length: -4\r\n" + kBody,
       "Content-Length: 4 4\r\n" + kBody, "Content-Length: 4,5\r\n" + kBody,
       "Content-Length:\r\n" + kBody, "Content-Length: 0x4\r\n" + kBody,
       "Content-Length: 18446744073709551620\r\n" + kBody,
       kSized + "Content-Length: 2\r\n" + kBody,
       kSized + kChunked + "\r\n4\r\nbody\r\n0\r\n\r\n",
       kChunked + kSized + "\r\n4\r\nbody\r\n0\r\n\r\n",
       "Transfer-Encoding: gzip\r\n" + kBody,
       "Transfer-Encoding: identity\r\n" + kBody,
       "Transfer-Encoding:\r\n" + kBody,
       "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}));
  ExpectBroken(
      {"HTTP/1.0 200 OK\r\n" + kOwn + kChunked + "\r\n4\r\nbody\r\n0\r\n\r\n"});
}

// Failure: the size of a chunk was read up to its first odd byte, so that a cut
// body passed as a whole one.
BOOST_AUTO_TEST_CASE(a_malformed_chunk_is_no_answer) {
  std::vector<std::string> framings;
  for (const char* chunks :
       {"0x4\r\nbody\r\n0\r\n\r\n", "0x4\r\n\r\n", "4x\r\nbody\r\n0\r\n\r\n",
        "+4\r\nbody\r\n0\r\n\r\n", " 4\r\nbody\r\n0\r\n\r\n",
        "-4\r\nbody\r\n0\r\n\r\n", "\r\nbody\r\n0\r\n\r\n",
        "4\r\nbody0\r\n\r\n", "4\r\nbody\r\nx\r\n\r\n",
        "4\r\nbody\r\n0\r\nX A: b\r\n\r\n", "4\r\nbody\r\n0\r\nX-A\r\n\r\n",
        "10000000000000004\r\nbody\r\n0\r\n\r\n"}) {
    framings.push_back(kChunked + "\r\n" + chunks);
  }
  ExpectBroken(WithFraming(framings));
}

// Failure: an interim head that carries the request's id passed as its answer,
// and the answer was lost.
BOOST_AUTO_TEST_CASE(interim_heads_are_skipped) {
  const std::string answer = kOk + kOwn + kSized + kBody;
  std::vector<std::string> texts;
  for (const char* status : {"100 Continue", "102 Processing", "103 Hints"}) {
    const std::string interim =
        "HTTP/1.1 " + std::string(status) + "\r\n" + kOwn + "\r\n";
    texts.push_back(interim + answer);
    texts.push_back(interim + interim + answer);
    ExpectBroken({interim});
  }
  ExpectSound(texts);
}

BOOST_AUTO_TEST_CASE(a_change_of_protocol_that_nobody_asked_for_is_no_answer) {
  const std::string upgrade =
      "HTTP/1.1 101 Switching Protocols\r\n" + kOwn + "Upgrade: x\r\n\r\n";
  ExpectBroken({upgrade, upgrade + kOk + kOwn + kSized + kBody});
}

// Failure: a trailer counted like the head, so that one that says "not run"
// denied a success that had run, which could then run again.
BOOST_AUTO_TEST_CASE(a_trailer_is_no_part_of_the_head) {
  const std::string chunks = "\r\n4\r\nbody\r\n0\r\n";
  for (const Reader& reader : kReaders) {
    const auto response =
        Read(reader, kOk + kOwn + kChunked + chunks +
                         "X-Not-Executed: 1\r\nX-Trailer: b\r\n\r\n");
    BOOST_REQUIRE_MESSAGE(response, reader.name);
    BOOST_TEST(response->body == "body", reader.name);
    for (const char* name : {"X-Not-Executed", "X-Trailer"}) {
      BOOST_TEST((response->headers.Find(name) == nullptr), reader.name);
    }
  }
  // An id in a trailer identifies no answer.
  BOOST_TEST(!Read(kReaders.front(), kOk + kChunked + chunks + kOwn + "\r\n"));
}

BOOST_AUTO_TEST_CASE(sound_answers_pass) {
  ExpectSound(WithLines({"X-A:", "X-A: b\tc", "X-A: \xe9\xff", "X-A:b  ",
                         "!#$%&'*+-.^_`|~09Az: b"}));
  ExpectSound(WithFraming(
      {kBody, "Content-Length:  4 \r\n" + kBody, kSized + kSized + kBody,
       "Content-Length: 4, 4\r\n" + kBody,
       kChunked + "\r\n4\r\nbody\r\n0\r\n\r\n",
       "transfer-encoding: Chunked\r\n\r\n0004;a=b\r\nbody\r\n000\r\n\r\n",
       kChunked + "\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"}));
  ExpectSound({"HTTP/1.1 200 \r\n" + kOwn + kSized + kBody,
               "HTTP/1.1 200\r\n" + kOwn + kSized + kBody,
               "HTTP/1.0 200 OK\r\n" + kOwn + kBody,
               "HTTP/1.0 200 OK\r\n" + kOwn + kSized + kBody,
               "HTTP/1.1 200 \xe9t\xe9 ok\r\n" + kOwn + kSized + kBody});
}

BOOST_AUTO_TEST_CASE(statuses_of_the_protocol_pass_as_they_are) {
  for (const Reader& reader : kReaders) {
    for (const int status : {200, 299, 304, 404, 418, 500, 599}) {
      const auto response =
          Read(reader, "HTTP/1.1 " + std::to_string(status) + " X\r\n" + kOwn +
                           "Content-Length: 0\r\n\r\n");
      BOOST_TEST((response && response->status == status),
                 reader.name << " " << status);
    }
  }
}

// Failure guarded against: what is split between two reads is lost or read
// twice, or bytes behind the answer are taken for a part of it.
BOOST_AUTO_TEST_CASE(an_answer_in_single_bytes_is_read_whole) {
  const std::string text = "HTTP/1.1 103 Hints\r\n" + kOwn + "\r\n" + kOk +
                           kOwn + kChunked +
                           "\r\n2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nX-T: b\r\n\r\n";
  HttpResponseReader reader(std::make_shared<SharedResponseBudget>(),
                            /*without_body=*/false);
  HttpResponseReader::Buffer buffer(HttpResponseReader::kMaxBufferBytes);
  for (const char byte : text + "HT") {
    buffer.commit(asio::buffer_copy(buffer.prepare(1), asio::buffer(&byte, 1)));
    reader.Read(buffer);
  }
  BOOST_REQUIRE(reader.complete());
  BOOST_TEST(buffer.size() == 2u);
  const HttpResponse response = reader.Release();
  BOOST_TEST(response.body == "body");
  BOOST_TEST(response.headers.all().size() == 3u);
}

// The connection of a broken answer is not used again.
BOOST_AUTO_TEST_CASE(a_broken_answer_ends_the_use_of_its_connection) {
  ScriptedPeer peer([](PeerConnection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 000 X\r\n" + kOwn + kSized + kBody);
    connection.ReadRequest();
  });
  BackendCaller mesh(peer.Address());
  CurlChannel own;
  const HttpRequest request = HttpRequestBuilder("GET", "/").Build();
  for (int i = 1; i <= 2; ++i) {
    BOOST_TEST((mesh.Send("a1").status == BackendCallStatus::kBroken));
    BOOST_TEST(std::holds_alternative<ResponseLost>(
        own.Send(peer.Address(), request, {})));
    BOOST_TEST(peer.connections() == 2 * i);
  }
}

// A broken answer may come from a request that ran: it is not kept as the
// answer to its id, and the request does not run again under that id.
BOOST_AUTO_TEST_CASE(a_broken_answer_is_not_kept_for_its_idempotency_key) {
  std::atomic<int> runs = 0;
  ScriptedPeer peer([&](PeerConnection& connection) {
    connection.ReadRequest();
    const std::string line = runs++ == 0 ? "X A: b\r\n" : "X-A: b\r\n";
    connection.Write(kOk + line + kSized + kBody);
  });
  test::FakeClock clock;
  test::SeededRandom random{1};
  CurlChannel channel;
  BackendDispatcher dispatcher("self", NodeSettings{}, clock, random, channel);
  dispatcher.Announce({"shop", peer.Address(), BackendState::kReady, 1});
  HopEnvelope envelope;
  envelope.service = "shop";
  envelope.timeout = {5'000};
  envelope.at_most_once = true;
  envelope.request_id = dispatcher.IssueId("shop", "acme").value();
  for (int i = 0; i < 2; ++i) {
    const CallReport report = dispatcher.Run(envelope, HttpRequest{});
    BOOST_TEST(std::holds_alternative<UnknownOutcome>(report.outcome));
    BOOST_TEST(runs == 1);
  }
}

// Failure: a node of an earlier version passed on an answer that it had not
// checked, and this node gave it to the client.
BOOST_AUTO_TEST_CASE(an_unchecked_answer_of_another_node_is_no_answer) {
  HopResponse sound;
  sound.status = 200;
  sound.headers = {{"X-A", "b"}};
  sound.has_load = true;
  BOOST_TEST((CallNode(sound).outcome == HopOutcome::kAnswered));
  HopResponse status = sound;
  status.status = 0;
  HopResponse interim = sound;
  interim.status = 103;
  HopResponse name = sound;
  name.headers.push_back({"X A", "b"});
  HopResponse value = sound;
  value.headers.push_back({"X-B", "b\r\nX-C: d"});
  for (HopResponse broken : {status, interim, name, value}) {
    broken.reached_backend = true;
    const HopResponse response = CallNode(broken);
    BOOST_TEST((response.outcome == HopOutcome::kUnknown));
    BOOST_TEST(response.reached_backend);
    BOOST_TEST(response.has_load);
    BOOST_TEST(response.headers.empty());
  }
}
