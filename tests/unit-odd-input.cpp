#define BOOST_TEST_MODULE odd_input
#include <boost/test/unit_test.hpp>

#include <limits>
#include <random>
#include <string>
#include <vector>

#include "platform/wire_protocol.h"
#include "rosemarywinch/adapters/async/net.h"
#include "rosemarywinch/adapters/json_codec.h"
#include "rosemarywinch/adapters/mesh_codec.h"
#include "rosemarywinch/adapters/wire_codec.h"
#include "rosemarywinch/core/text_value.h"
#include "rosemarywinch/interfaces/http_request_builder.h"
#include "rosemarywinch/schema/consensus.h"
#include "rosemarywinch/schema/control.h"
#include "rosemarywinch/schema/fleet.h"

// Pattern: another writer sends entries that are valid in form but odd: deeply
// nested, with numbers that do not fit, or truncated. A decoder rejects them
// with the field and a remedy; the process lives.

using namespace rosemarywinch;

namespace {

constexpr size_t kDeep = 200'000;

std::string Nested(size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

// Returns the error with which `text` is rejected as a `T`, or kNone.
template <typename T>
Error ErrorOf(const std::string& text) {
  const auto outcome = Capture([&]() -> Result<T> {
    BOOST_LEAF_AUTO(json, ParseJson(text));
    return FromJson<T>(json);
  });
  const auto* error = std::get_if<Error>(&outcome);
  return error == nullptr ? Error{} : *error;
}

template <typename T>
bool IsRejectedCbor(const std::string& bytes) {
  return std::holds_alternative<Error>(
             Capture([&] { return FromBinary<T>(bytes); })) &&
         std::holds_alternative<Error>(
             Capture([&] { return FromWire<T>(bytes); }));
}

// Returns the error with which a frame is rejected, or an empty text.
template <typename T>
std::string WireProblem(const std::string& bytes) {
  const auto outcome = Capture([&] { return FromWire<T>(bytes); });
  const auto* error = std::get_if<Error>(&outcome);
  return error == nullptr ? "" : error->detail;
}

OperatorCall ReadPut(const std::string& body) {
  WireProtocol protocol;
  return protocol.ReadOperatorCall(
      HttpRequestBuilder("PUT", "/configuration").Body(body).Build());
}

std::string ReportWith(const std::string& field, const std::string& value) {
  return R"({"service":"s","address":"10.0.0.1:80","state":"ready",)"
         R"("sequence":1,")" +
         field + "\":" + value + "}";
}

}  // namespace

BOOST_AUTO_TEST_CASE(deeply_nested_configurations_are_rejected) {
  const OperatorCall call =
      ReadPut(R"({"version":3,"extra":)" + Nested(kDeep) + "}");
  const auto* unknown = std::get_if<UnknownCall>(&call);
  BOOST_REQUIRE(unknown != nullptr);
  BOOST_TEST((unknown->error.id == ErrorId::kMalformedMessage));
  BOOST_TEST(unknown->error.Message().find("32 levels") != std::string::npos);
  const OperatorCall shallow =
      ReadPut(R"({"version":3,"extra":)" + Nested(kMaxNesting - 1) + "}");
  BOOST_TEST(std::holds_alternative<PutConfigurationCall>(shallow));
}

BOOST_AUTO_TEST_CASE(unclosed_nesting_is_rejected) {
  BOOST_TEST((ErrorOf<Configuration>(std::string(kDeep, '[')).id ==
              ErrorId::kMalformedMessage));
}

BOOST_AUTO_TEST_CASE(messages_of_too_many_values_are_rejected) {
  std::string text = "[0";
  for (size_t i = 0; i < kMaxValues; ++i) {
    text += ",0";
  }
  const Error error = ErrorOf<Configuration>(text + "]");
  BOOST_TEST(error.detail.find("values") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(numbers_that_do_not_fit_are_rejected_by_name) {
  for (const auto& [field, value] :
       std::vector<std::pair<std::string, std::string>>{
           {"slots", "4294967412"},
           {"slots", "-1"},
           {"slots", "1.5"},
           {"slots", "1e30"},
           {"sequence", "18446744073709551616"},
           {"born", "9223372036854775808"},
           {"born", "9223372036854775807"},
           {"cold_left", "-9223372036854775808"}}) {
    const Error error = ErrorOf<BackendReport>(ReportWith(field, value));
    BOOST_TEST_CONTEXT(field << " " << value << " " << error.Message()) {
      BOOST_TEST((error.id == ErrorId::kMalformedMessage));
      BOOST_TEST(error.detail.starts_with(field));
    }
  }
  BOOST_TEST((ErrorOf<BackendReport>(ReportWith("slots", "116")).id ==
              ErrorId::kNone));
}

BOOST_AUTO_TEST_CASE(an_error_names_the_path_of_its_field) {
  const Error error = ErrorOf<Configuration>(
      R"({"version":3,"routes":{"pay":{"timeout":1e18}}})");
  BOOST_TEST(error.detail.starts_with("routes.pay.timeout: "));
}

BOOST_AUTO_TEST_CASE(errors_stay_short_and_are_json) {
  const std::string name(100'000, 'n');
  const Error error = ErrorOf<Configuration>("{\"routes\":{\"" + name +
                                             "\":{\"timeout\":true}}}");
  BOOST_TEST((error.id == ErrorId::kMalformedMessage));
  BOOST_TEST(error.detail.size() < 2 * kMaxPathBytes);
  WireProtocol protocol;
  const HttpResponse response = protocol.WriteRefusal({"id", error, {}, {}});
  BOOST_TEST(Json::parse(response.body).at("error") == error.Message());
}

BOOST_AUTO_TEST_CASE(time_spans_near_the_limit_can_be_added_to_a_time) {
  BOOST_TEST(
      (ErrorOf<Configuration>(R"({"limits":{"idle_timeout":4398046511105}})")
           .id == ErrorId::kMalformedMessage));
  BOOST_TEST(
      (ErrorOf<Configuration>(R"({"limits":{"idle_timeout":4398046511104}})")
           .id == ErrorId::kNone));
  constexpr int64_t kNsPerMs = 1'000'000;
  static_assert(kMaxDuration.ms <=
                std::numeric_limits<int64_t>::max() / kNsPerMs / 2);
}

BOOST_AUTO_TEST_CASE(a_deadline_header_of_any_size_is_read) {
  WireProtocol protocol;
  const auto time_left = [&](const std::string& text) {
    const auto read = Capture([&] {
      return protocol.ReadRequest(HttpRequestBuilder("GET", "/")
                                      .Header("X-Request-Id", "1")
                                      .Header("X-Deadline-Ms", text)
                                      .Build());
    });
    const auto* request = std::get_if<CallerRequest>(&read);
    return request == nullptr ? std::optional<Duration>() : request->time_left;
  };
  BOOST_TEST(time_left("1500")->ms == 1'500);
  BOOST_TEST(time_left(std::string(300, '9'))->ms == kMaxDuration.ms);
  BOOST_TEST(time_left("-" + std::string(30, '9'))->ms == -kMaxDuration.ms);
  BOOST_TEST(!time_left("1e3"));
  BOOST_TEST(!time_left("nan"));
}

BOOST_AUTO_TEST_CASE(ports_out_of_range_are_rejected) {
  for (const char* address :
       {"10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:", "10.0.0.1:80x",
        "10.0.0.1:99999999999999999999", "10.0.0.1", ":80", "10.0.0:1:80"}) {
    BOOST_TEST_CONTEXT(address) {
      BOOST_TEST(std::holds_alternative<Error>(
          Capture([&] { return ParseEndpoint(address); })));
    }
  }
  BOOST_TEST(std::holds_alternative<Tcp::endpoint>(
      Capture([] { return ParseEndpoint("10.0.0.1:65535"); })));
}

BOOST_AUTO_TEST_CASE(settings_are_not_narrowed) {
  const FieldInfo field{"port", "", 0, 0, "", "", "", {}};
  const auto assigns = [&](auto value, std::string_view text) {
    return !std::holds_alternative<Error>(
        Capture([&] { return AssignFromText(field, value, text); }));
  };
  BOOST_TEST(assigns(uint32_t{0}, "4294967295"));
  BOOST_TEST(!assigns(uint32_t{0}, "4294967296"));
  BOOST_TEST(!assigns(uint32_t{0}, "-1"));
  BOOST_TEST(!assigns(Duration{}, "9007199254740992"));
  BOOST_TEST(assigns(Duration{}, "4398046511104"));
}

BOOST_AUTO_TEST_CASE(numbers_are_written_as_they_are_read) {
  for (const double value : {60'000'000'000.0, -12'345'678'901.0, 0.25, 0.0}) {
    BOOST_TEST(ParseNumber(NumberText(value)).value_or(-1) == value);
  }
}

BOOST_AUTO_TEST_CASE(odd_frames_are_rejected) {
  // Arrays within arrays, texts of indefinite length within one another, and
  // lengths that the frame does not hold.
  BOOST_TEST(IsRejectedCbor<PeerMessage>(std::string(kDeep, '\x81')));
  BOOST_TEST(IsRejectedCbor<PeerMessage>(std::string(kDeep, '\x9f')));
  BOOST_TEST(IsRejectedCbor<PeerMessage>(std::string(kDeep, '\x7f')));
  BOOST_TEST(IsRejectedCbor<PeerMessage>(std::string(kDeep, '\xc1')));
  for (const char head : {'\x7b', '\x9b', '\xbb', '\x5b'}) {
    BOOST_TEST(IsRejectedCbor<PeerMessage>(head + std::string(8, '\xff')));
    BOOST_TEST(
        IsRejectedCbor<PeerMessage>(head + std::string(8, '\x7f') + "abc"));
  }
  BOOST_TEST(IsRejectedCbor<PeerMessage>(""));
  const std::string good = ToBinary(StateRequest{3});
  BOOST_TEST(!IsRejectedCbor<StateRequest>(good));
  BOOST_TEST(IsRejectedCbor<StateRequest>(good + "\x01"));
  BOOST_TEST(WireProblem<StateRequest>(ToWire(StateRequest{3})) == "");
  BOOST_TEST(WireProblem<StateRequest>(ToWire(StateRequest{3}) + "\x01") != "");
  // Unknown fields may hold no more levels than known ones.
  const std::string unknown = "\xa1\x18\xff";
  BOOST_TEST(WireProblem<StateRequest>(unknown + std::string(31, '\x81') +
                                       "\x01") == "");
  BOOST_TEST(WireProblem<StateRequest>(unknown + std::string(40, '\x81') +
                                       "\x01") != "");
}

BOOST_AUTO_TEST_CASE(wire_numbers_are_not_narrowed) {
  // Field 1 is a uint32, a negative whole number, or of another type.
  const auto problem = [](const std::string& value) {
    return WireProblem<StateRequest>("\xa1\x01" + value);
  };
  BOOST_TEST(problem("\x1a\xff\xff\xff\xff") == "");
  for (const std::string& value :
       {std::string("\x1b\x00\x00\x00\x01\x00\x00\x00\x00", 9),
        std::string("\x20"), std::string("\x3b") + std::string(8, '\xff'),
        std::string("\xf5"), std::string("\x61x"),
        std::string("\xfa\x3f\x80\x00\x00", 5)}) {
    BOOST_TEST(problem(value).starts_with("protocol_version: "));
  }
  BOOST_TEST(WireProblem<HopResponse>(std::string("\xa1\x01\x18\x63", 4))
                 .starts_with("outcome: "));
  // Keys that are no field numbers.
  BOOST_TEST(WireProblem<StateRequest>("\xa1\x20\x01") != "");
  BOOST_TEST(WireProblem<StateRequest>("\xa1\x80\x01") != "");
}

BOOST_AUTO_TEST_CASE(numbers_that_are_not_finite_are_rejected) {
  HopResponse response;
  for (const double value : {std::numeric_limits<double>::infinity(),
                             std::numeric_limits<double>::quiet_NaN(), 1e300}) {
    response.pressure = value;
    BOOST_TEST(IsRejectedCbor<HopResponse>(ToBinary(response)));
    BOOST_TEST(
        WireProblem<HopResponse>(ToWire(response)).starts_with("pressure: "));
  }
}

namespace {

// Makes JSON documents at random, and changes valid ones.
class DocumentSource {
 public:
  explicit DocumentSource(uint32_t seed) : m_engine(seed) {}

  Json Value(int depth) {
    switch (Below(depth > 4 ? 6 : 8)) {
      case 0:
        return nullptr;
      case 1:
        return Below(2) == 0;
      case 2:
        return OddNumber();
      case 3:
        return static_cast<int64_t>(m_engine());
      case 4:
        return static_cast<double>(m_engine()) / 7;
      case 5:
        return std::string(Below(6), static_cast<char>('a' + Below(26)));
      case 6: {
        Json array = Json::array();
        for (uint64_t i = Below(4); i > 0; --i) {
          array.push_back(Value(depth + 1));
        }
        return array;
      }
      default: {
        Json object = Json::object();
        for (uint64_t i = Below(4); i > 0; --i) {
          object[Name()] = Value(depth + 1);
        }
        return object;
      }
    }
  }

  // Replaces one value anywhere in `json` by a random one.
  void Mutate(Json& json) {
    if (!json.is_structured() || json.empty() || Below(4) == 0) {
      json = Value(2);
      return;
    }
    auto at = json.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(Below(json.size())));
    Mutate(*at);
  }

  void MutateBytes(std::string& bytes) {
    for (uint64_t i = 1 + Below(4); i > 0 && !bytes.empty(); --i) {
      const size_t at = Below(bytes.size());
      switch (Below(3)) {
        case 0:
          bytes[at] = static_cast<char>(m_engine());
          break;
        case 1:
          bytes.insert(at, Below(9), static_cast<char>(m_engine()));
          break;
        default:
          bytes.erase(at, Below(9));
          break;
      }
    }
  }

 private:
  uint64_t Below(uint64_t bound) { return m_engine() % bound; }

  Json OddNumber() {
    constexpr int64_t kLeast = std::numeric_limits<int64_t>::min();
    const std::vector<Json> odd{0,          -1,    4'294'967'296, kLeast,
                                1ull << 63, 1e300, -0.0,          65'536};
    return odd[Below(odd.size())];
  }

  std::string Name() {
    const std::vector<std::string> names{
        "version", "routes", "services", "accounts", "limits", "timeout",
        "split",   "weight", "keys",     "rate",     "slots",  "born"};
    return names[Below(names.size())];
  }

  std::mt19937_64 m_engine;
};

// A configuration that uses each kind of field.
Json SampleConfiguration() {
  return Json::parse(R"({"version":4,"base_version":3,"routes":{"r":{
    "hostname":"a.example","path_prefix":"/x/","kind":"idempotent",
    "timeout":1000,"target_latency":500,"priority":1,"max_attempts":2,
    "split":[{"service":"s","weight":90},{"service":"t","weight":10}]}},
    "services":{"s":{"health_path":"/h","max_connections":7},"t":{}},
    "accounts":{"a":{"keys":["k"],"priority":1,"rate":5.5,"burst":2}},
    "limits":{"max_header_bytes":1,"idle_timeout":5}})");
}

std::string SamplePoll() {
  PollRequest request;
  request.node = "n";
  request.member.slots = 4;
  request.services.push_back({"s", 7});
  request.quotas.emplace_back().account = "a";
  return ToWire(request);
}

std::string SamplePeerMessage() {
  PeerMessage message;
  message.term = 4;
  AppendRequest append;
  FleetCommand command;
  command.change = PutConfiguration{4, 3, "{}", "f"};
  append.entries.push_back({1, 4, command});
  message.body = append;
  return ToWire(message);
}

template <typename T>
bool SurvivesBytes(const std::string& bytes) {
  static_cast<void>(Capture([&] { return FromBinary<T>(bytes); }));
  const auto decoded = Capture([&] { return FromWire<T>(bytes); });
  const auto* value = std::get_if<T>(&decoded);
  // What was accepted can be encoded, and is the same when it is decoded again.
  return value == nullptr ||
         std::get<T>(Capture([&] { return FromWire<T>(ToWire(*value)); })) ==
             *value;
}

}  // namespace

BOOST_AUTO_TEST_CASE(random_documents_end_no_decoder) {
  constexpr uint32_t kSeed = 20'261'205;
  constexpr int kDocuments = 4'000;
  DocumentSource source(kSeed);
  int accepted = 0;
  for (int i = 0; i < kDocuments; ++i) {
    Json json = i % 4 == 0 ? source.Value(0) : SampleConfiguration();
    source.Mutate(json);
    std::string text = WriteJson(json);
    if (i % 3 == 0) {
      source.MutateBytes(text);
    }
    const auto built = Capture([&] { return ParseMeshConfig(text); });
    accepted += std::holds_alternative<Error>(built) ? 0 : 1;
    static_cast<void>(ReadPut(text));
    static_cast<void>(ErrorOf<BackendReport>(text));
  }
  BOOST_TEST(accepted > 0);
  BOOST_TEST(accepted < kDocuments);
}

BOOST_AUTO_TEST_CASE(random_frames_end_no_decoder) {
  constexpr uint32_t kSeed = 20'261'206;
  constexpr int kFrames = 6'000;
  DocumentSource source(kSeed);
  const std::vector<std::string> samples{SamplePoll(), SamplePeerMessage()};
  for (int i = 0; i < kFrames; ++i) {
    std::string bytes = samples[i % samples.size()];
    source.MutateBytes(bytes);
    BOOST_REQUIRE(SurvivesBytes<PollRequest>(bytes));
    BOOST_REQUIRE(SurvivesBytes<PollReply>(bytes));
    BOOST_REQUIRE(SurvivesBytes<PeerMessage>(bytes));
    BOOST_REQUIRE(SurvivesBytes<HopRequest>(bytes));
    BOOST_REQUIRE(SurvivesBytes<Snapshot>(bytes));
  }
}
