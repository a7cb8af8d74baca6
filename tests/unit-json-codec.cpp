#define BOOST_TEST_MODULE json_codec
#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include <random>

#include "rosemarywinch/adapters/json_codec.h"
#include "rosemarywinch/adapters/json_rpc.h"
#include "rosemarywinch/adapters/wire_codec.h"
#include "rosemarywinch/programs/hop.h"
#include "rosemarywinch/schema/consensus.h"
#include "rosemarywinch/schema/control.h"
#include "rosemarywinch/schema/fleet.h"
#include "rosemarywinch/schema/mesh.h"
#include "rosemarywinch/schema/policy.h"
#include "support/fakes.h"

namespace rosemarywinch {
namespace {

FleetCommand MakeCommand(const std::string& text, uint64_t number) {
  FleetCommand command;
  command.operation_id = text;
  command.unix_time = {static_cast<int64_t>(number % 1'000'000)};
  if (number % 3 == 0) {
    command.change = ChangeTree{number, {{"/", text, text, number % 2 == 0}}};
  } else if (number % 3 == 1) {
    command.change = GiveKey{text, text, text};
  } else {
    command.change = WithdrawKey{text};
  }
  return command;
}

BOOST_AUTO_TEST_CASE(messages_round_trip_through_json_and_cbor) {
  const bool holds = rc::check([](uint64_t number, uint32_t term) {
    const std::string text = "t" + std::to_string(number);
    PeerMessage message;
    message.term = term;
    message.from = {term, text};
    AppendRequest append;
    append.entries.push_back({number, term, MakeCommand(text, number)});
    append.entries.push_back({number + 1, term, Noop{}});
    append.entries.push_back({number, term, VoterChange{{{term, text}}}});
    message.body = append;
    RC_ASSERT(*FromJson<PeerMessage>(ToJson(message)) == message);
    RC_ASSERT(*FromBinary<PeerMessage>(ToBinary(message)) == message);
    RC_ASSERT(*FromWire<PeerMessage>(ToWire(message)) == message);
    FleetState state;
    state.version = number;
    state.tree["/"].rate = static_cast<double>(term) / 7;
    state.tree["/a"].access = Access::kOpen;
    state.tree["/b"].timeout = Duration{0};
    state.keys[text] = {text, text};
    RC_ASSERT(*FromBinary<FleetState>(ToBinary(state)) == state);
    RC_ASSERT(*FromWire<FleetState>(ToWire(state)) == state);
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(a_member_can_be_left_out) {
  const std::string text =
      R"({"a":1,"b":{"b":[1,{"a":2}]},"c":{"b":[3]},"d":[{"b":4}]})";
  const Json whole = Json::parse(text);
  Json expected = whole;
  expected.erase("b");
  BOOST_TEST((ParseJson(text).value() == whole));
  BOOST_TEST((ParseJson(text, "b").value() == expected));
  BOOST_TEST(
      (ParseJson(R"([{"b":1}])", "b").value() == Json::parse(R"([{"b":1}])")));
  BOOST_TEST((ParseJson(R"({"b":7,"c":8})", "b").value() == Json{{"c", 8}}));
}

BOOST_AUTO_TEST_CASE(json_and_cbor_hold_the_same_values) {
  const bool holds = rc::check([](uint64_t number, int64_t ms, double load) {
    PollRequest request;
    request.node = "node" + std::to_string(number);
    request.term = number;
    request.leaving = number % 2 == 0;
    request.member.slots = static_cast<uint32_t>(number);
    request.services.push_back({"s", number / 2});
    HopResponse response;
    response.retry_after = {ms};
    response.pressure = load;
    response.headers.push_back({std::string(number % 300, 'n'), ""});
    RC_ASSERT(Json::from_cbor(ToBinary(request)) == ToJson(request));
    RC_ASSERT(Json::from_cbor(ToBinary(response)) == ToJson(response));
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(decoders_accept_or_reject_arbitrary_bytes) {
  const std::string good = ToBinary(MakeCommand("abc", 3));
  const bool holds = rc::check([&](const std::string& noise, size_t at) {
    static_cast<void>(Capture([&] { return FromBinary<PeerMessage>(noise); }));
    std::string flipped = good;
    flipped[at % flipped.size()] ^= static_cast<char>(1 + at % 255);
    static_cast<void>(
        Capture([&] { return FromBinary<FleetCommand>(flipped); }));
    HttpRequest request;
    request.headers.Add("X-Rosemarywinch-Hop", noise);
    static_cast<void>(Capture([&] { return DecodeHop(request); }));
    HttpResponse response;
    response.headers.Add("X-Refusal-Reason", noise);
    response.headers.Add("X-Request-Outcome", "not-run");
    response.headers.Add("X-Rosemarywinch-Retries-Left", noise);
    DecodeReport(response);
  });
  BOOST_TEST(holds);
}

namespace {

// Gives each field of a message a value that differs from its default.
class Filler {
 public:
  explicit Filler(uint32_t seed) : m_engine(seed) {}

  template <typename T>
  void Fill(T& value) {
    if constexpr (std::is_same_v<T, Duration>) {
      value.ms = Whole();
    } else if constexpr (std::is_enum_v<T>) {
      const auto& table = EnumTable(T{});
      value = table[m_engine() % table.size()].value;
    } else if constexpr (detail::IsOptional<T>::value) {
      Fill(value.emplace());
    } else if constexpr (detail::IsVector<T>::value) {
      Fill(value.emplace_back());
      Fill(value.emplace_back());
    } else if constexpr (detail::IsMap<T>::value) {
      Fill(value["k" + std::to_string(m_engine() % 9)]);
    } else if constexpr (std::is_same_v<T, std::string>) {
      value.assign(m_engine() % 30, static_cast<char>(m_engine()));
    } else if constexpr (SchemaMessage<T>) {
      VisitFields(value, [&](const FieldInfo&, auto& part) { Fill(part); });
    } else if constexpr (requires { value.index(); }) {
      FillAlternative(value, 1 + m_engine() % (std::variant_size_v<T> - 1));
    } else if constexpr (std::is_floating_point_v<T>) {
      value = static_cast<double>(Whole()) / (m_engine() % 2 == 0 ? 8 : 7);
    } else if constexpr (!std::is_same_v<T, std::monostate>) {
      value = static_cast<T>(Whole());
    }
  }

 private:
  template <size_t kIndex = 1, typename... Parts>
  void FillAlternative(std::variant<Parts...>& value, size_t index) {
    if constexpr (kIndex < sizeof...(Parts)) {
      if (kIndex == index) {
        Fill(value.template emplace<kIndex>());
      } else {
        FillAlternative<kIndex + 1>(value, index);
      }
    }
  }

  int64_t Whole() {
    return static_cast<int64_t>(m_engine() >> (23 + m_engine() % 40));
  }

  std::mt19937_64 m_engine;
};

template <typename T>
void CheckRoundTrips() {
  constexpr int kMessages = 30;
  Filler filler(20'261'207);
  for (int i = 0; i < kMessages; ++i) {
    T message;
    filler.Fill(message);
    const std::string bytes = ToWire(message);
    BOOST_REQUIRE(
        (std::get<T>(Capture([&] { return FromWire<T>(bytes); })) == message));
    // No truncated message is accepted.
    for (size_t length = 0; length < bytes.size(); length += 1 + length / 40) {
      BOOST_REQUIRE(std::holds_alternative<Error>(
          Capture([&] { return FromWire<T>(bytes.substr(0, length)); })));
    }
  }
}

ErrorId WireErrorOf(const std::string& bytes) {
  const auto outcome = Capture([&] { return FromWire<PollRequest>(bytes); });
  const auto* error = std::get_if<Error>(&outcome);
  return error == nullptr ? ErrorId::kNone : error->id;
}

}  // namespace

BOOST_AUTO_TEST_CASE(all_messages_between_processes_round_trip) {
  CheckRoundTrips<HopRequest>();
  CheckRoundTrips<HopResponse>();
  CheckRoundTrips<PollRequest>();
  CheckRoundTrips<PollReply>();
  CheckRoundTrips<PeerMessage>();
}

BOOST_AUTO_TEST_CASE(unknown_field_numbers_are_ignored) {
  // {600: [{1: "x"}, true], 1: 2}
  const std::string bytes("\xa2\x19\x02\x58\x82\xa1\x01\x61x\xf5\x01\x02", 12);
  const auto request = Capture([&] { return FromWire<PollRequest>(bytes); });
  BOOST_TEST(std::get<PollRequest>(request).protocol_version == 2u);
}

// A process of an older version must not be misread: an empty request would
// pass as a valid one.
BOOST_AUTO_TEST_CASE(messages_with_named_fields_are_of_another_version) {
  PollRequest request;
  request.node = "n";
  BOOST_TEST((WireErrorOf(ToBinary(request)) == ErrorId::kProtocolVersion));
  BOOST_TEST((WireErrorOf(ToWire(request)) == ErrorId::kNone));
  PollReply refusal;
  refusal.error = ErrorId::kProtocolVersion;
  const std::string reply = EncodeReply(ToBinary(request), refusal);
  BOOST_TEST((FromBinary<PollReply>(reply)->error == refusal.error));
  BOOST_TEST(
      (FromWire<PollReply>(EncodeReply(ToWire(request), refusal))->error ==
       refusal.error));
}

// The names of the fields cost as much as the content of a small call.
BOOST_AUTO_TEST_CASE(frames_of_a_small_call_are_short) {
  HopRequest request;
  request.request_id = "0123456789abcdef-42";
  request.service = "pricing";
  request.method = "GET";
  request.target = "/price?item=1742";
  request.headers = {{"Accept", "application/json"},
                     {"User-Agent", "checkout/1.4"},
                     {"X-Request-Id", "0123456789abcdef-42"}};
  request.account = "account-17";
  request.caller_service = "checkout";
  request.time_left = {840};
  request.priority = 1;
  request.nested = true;
  request.calls_before = 2;
  request.entry_service = "checkout";
  request.entry_priority = 1;
  HopResponse response;
  response.status = 200;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = R"({"price":1250,"currency":"EUR"})";
  response.reached_backend = true;
  response.pressure = 0.25;
  const auto report = [](const char* name, size_t named, size_t numbered) {
    BOOST_TEST_MESSAGE(name << " " << named << " bytes with names, " << numbered
                            << " with numbers");
    BOOST_TEST(numbered < named);
  };
  report("HopRequest", ToBinary(request).size(), ToWire(request).size());
  report("HopResponse", ToBinary(response).size(), ToWire(response).size());
}

BOOST_AUTO_TEST_CASE(wrong_json_types_are_malformed_messages) {
  const auto error_of = [](const char* text) {
    const auto outcome = Capture([&]() -> Result<PollRequest> {
      BOOST_LEAF_AUTO(json, ParseJson(text));
      return FromJson<PollRequest>(json);
    });
    const auto* error = std::get_if<Error>(&outcome);
    return error == nullptr ? ErrorId::kNone : error->id;
  };
  BOOST_TEST((error_of("{}") == ErrorId::kNone));
  BOOST_TEST((error_of("{\"unknown_field\":1}") == ErrorId::kNone));
  for (const char* text : {"", "[]", "3", "{\"term\":-1}", "{\"term\":\"x\"}",
                           "{\"node\":7}", "{\"term\":1.5}", "{\"member\":[]}",
                           "{\"member\":{\"state\":99}}", "{\"leaving\":1}"}) {
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST((error_of(text) == ErrorId::kMalformedMessage));
    }
  }
}

BOOST_AUTO_TEST_CASE(malformed_rpc_calls_return_an_error) {
  JsonRpcServer server;
  server.Add<StateRequest>("echo", [](const StateRequest& request) {
    return Result<StateRequest>(request);
  });
  for (const char* body :
       {"", "{", "[]", "{\"method\":7}", "{\"method\":\"none\"}",
        "{\"method\":\"echo\",\"params\":[]}",
        "{\"method\":\"echo\",\"params\":{\"protocol_version\":-3}}"}) {
    HttpRequest request;
    request.body = body;
    const Json answer = Json::parse(server.Handle(request).body);
    BOOST_TEST(answer.contains("error"));
    BOOST_TEST(answer["error"]["code"].get<int>() == 307);
  }
  HttpRequest request;
  request.body = R"({"id":5,"method":"echo","params":{"protocol_version":3}})";
  const Json answer = Json::parse(server.Handle(request).body);
  BOOST_TEST(answer["result"]["protocol_version"].get<int>() == 3);
  BOOST_TEST(answer["id"].get<int>() == 5);
}

// Failure: a response with an error status counted as the result of a call.
BOOST_AUTO_TEST_CASE(a_result_comes_with_the_status_200) {
  test::MockChannel channel;
  HttpResponse reply{200, {}, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":7}"};
  ALLOW_CALL(channel, Send(trompeloeil::_, trompeloeil::_, trompeloeil::_))
      .LR_RETURN(HttpResult(reply));
  const auto call = [&] {
    return Capture([&] {
      return CallJsonRpc(channel, "c1:1", "node.poll", Json::object(), {100});
    });
  };
  BOOST_TEST(std::get<Json>(call()).get<int>() == 7);
  for (const int status : {201, 404, 500, 503}) {
    reply.status = status;
    const Outcome<Json> outcome = call();
    BOOST_REQUIRE(std::holds_alternative<Error>(outcome));
    BOOST_TEST((std::get<Error>(outcome).id == ErrorId::kUnreachable));
  }
}

BOOST_AUTO_TEST_CASE(call_reports_round_trip_through_http) {
  const CallReport refused{
      NotRun{{ErrorId::kOverloaded, "shop"}, Duration{1500}}, 2, {7}};
  const CallReport back = DecodeReport(EncodeReport(refused));
  BOOST_TEST((std::get<NotRun>(back.outcome).error.id == ErrorId::kOverloaded));
  BOOST_TEST(std::get<NotRun>(back.outcome).retry_after.ms == 2000);
  BOOST_TEST(back.retries_left == 2u);
  HttpResponse answer{404, {}, "no such page"};
  const CallReport ran = DecodeReport(EncodeReport({Ran{answer}, 1, {}}));
  BOOST_TEST(std::get<Ran>(ran.outcome).response.body == "no such page");
  BOOST_TEST(std::holds_alternative<UnknownOutcome>(
      DecodeReport(HttpResponse{500, {}, ""}).outcome));
}

}  // namespace
}  // namespace rosemarywinch
