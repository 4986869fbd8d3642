// Tests the translation between the users' wire and the project's types.

#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "nlohmann/json.hpp"
#include "platform/bounds_codec.h"
#include "platform/caller_codec.h"
#include "platform/config_codec.h"
#include "platform/object_codec.h"
#include "platform/replica_codec.h"
#include "rapidcheck/gtest.h"
#include "tanagervane/support/error.h"

namespace tanagervane {
namespace {

using nlohmann::json;

json ConfigJson() {
  return json::parse(R"({"version":7,"routes":[
    {"name":"g","host":"h","pathPrefix":"/a/","type":"idempotent",
     "timeoutMs":300,"sloMs":60,"priority":2,"gather":["s1","s2"],
     "attempts":2,"topK":5,"minShardShare":0.75},
    {"name":"w","host":"h","pathPrefix":"/b/","type":"non_idempotent",
     "timeoutMs":300,"trafficSplit":[{"service":"x","weight":1},
     {"service":"y","weight":3}]}],
    "services":[{"name":"s1","healthPath":"/healthz","maxConns":31}],
    "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":3000,
    "idleTimeoutMs":15000}})");
}

TEST(ConfigCodecTest, FieldsAreDecoded) {
  const auto config = DecodeConfig({"main", 1, ConfigJson()});
  ASSERT_TRUE(config.ok());
  EXPECT_EQ(config->version, 7u);
  EXPECT_TRUE(config->routes[0].is_fanout());
  EXPECT_TRUE(config->routes[0].idempotent);
  EXPECT_EQ(config->routes[0].top_records, 5u);
  EXPECT_FALSE(config->routes[1].idempotent);
  EXPECT_EQ(config->routes[1].objective, Millis(300));
  EXPECT_EQ(config->routes[1].targets[1].weight, 3);
  EXPECT_EQ(config->services[0].max_connections, 31u);
  EXPECT_EQ(config->limits.body_bytes, 200u);
}

// A request of an unknown type must not run more than once.
TEST(ConfigCodecTest, UnknownTypeIsNotIdempotent) {
  json spec = ConfigJson();
  spec["routes"][0]["type"] = "something";
  EXPECT_FALSE(DecodeConfig({"main", 1, spec})->routes[0].idempotent);
}

// Guards against tenants, public routes and warm-up limits that are lost or
// mixed up on the way from the store.
TEST(ConfigCodecTest, DecodesTenants) {
  json spec = ConfigJson();
  spec["routes"][0]["public"] = true;
  spec["services"][0]["warmupPerS"] = 2.5;
  spec["tenants"] = json::parse(R"([
    {"name": "a", "apiKeys": ["k1", "k2"], "priority": 0, "ratePerS": 47,
     "burst": 12},
    {"name": "b", "apiKeys": []}])");
  const auto config = DecodeConfig({"main", 1, spec});
  ASSERT_TRUE(config.ok());
  EXPECT_TRUE(config->routes[0].is_public);
  EXPECT_EQ(config->services[0].warm_up_rate, 2.5);
  ASSERT_EQ(config->tenants.size(), 2U);
  EXPECT_EQ(config->tenants[0].keys, (std::vector<std::string>{"k1", "k2"}));
  EXPECT_EQ(config->tenants[0].priority, 0U);
  EXPECT_EQ(config->tenants[0].rate, 47);
  EXPECT_EQ(config->tenants[0].burst, 12);
  EXPECT_EQ(config->tenants[1].priority, std::nullopt);
  EXPECT_EQ(config->tenants[1].rate, 0);
}

// Guards against bounds of the platform that do not reach the settings, and
// against deployments that state only some of them.
TEST(BoundsCodecTest, BoundsAreTranslated) {
  const json bounds = TranslateBounds({{"strictRevoke", true},
                                       {"revokeMs", 5000},
                                       {"quotaWindowS", nullptr},
                                       {"drainMs", 3000}});
  EXPECT_EQ(bounds,
            json({{"strict_revocation", true}, {"revocation_ms", 5000}}));
  EXPECT_TRUE(TranslateBounds(nullptr).empty());
}

// An invalid configuration must be rejected as a whole.
TEST(ConfigCodecTest, MissingOrMistypedFieldsNameTheirPath) {
  json spec = ConfigJson();
  spec["routes"][0]["host"] = 5;
  const auto config = DecodeConfig({"main", 1, spec});
  ASSERT_FALSE(config.ok());
  EXPECT_EQ(GetErrorPath(config.status()), "routes.host");
  for (const char* text : {"null", "[]", "{}", R"({"version":"x"})"}) {
    EXPECT_FALSE(DecodeConfig({"main", 1, json::parse(text)}).ok()) << text;
  }
}

json ReplicaJson() {
  return json::parse(R"({"service":"s","addr":"10.0.0.1:80","zone":"z",
    "version":"v1","concurrencyLimit":3,"state":"ready","warmupLeftMs":50,
    "sequence":4,"born":1700000000000})");
}

TEST(ReplicaCodecTest, RegistrationIsDecoded) {
  const auto registration = DecodeReplica({"i-1", 1, ReplicaJson()});
  ASSERT_TRUE(registration.ok());
  EXPECT_EQ(registration->started_at_ms, 1700000000000);
  EXPECT_EQ(registration->slots, 3u);
  EXPECT_EQ(registration->warm_up_left, Millis(50));
}

// Any client of the store can write a registration: an invalid one must not
// direct requests to its address.
TEST(ReplicaCodecTest, InvalidRegistrationsAreRejected) {
  for (const char* field : {"service", "addr", "state", "concurrencyLimit"}) {
    json missing = ReplicaJson();
    missing.erase(field);
    EXPECT_FALSE(DecodeReplica({"i", 1, missing}).ok()) << field;
    json mistyped = ReplicaJson();
    mistyped[field] = json::array();
    EXPECT_FALSE(DecodeReplica({"i", 1, mistyped}).ok()) << field;
  }
  json state = ReplicaJson();
  state["state"] = "sleeping";
  EXPECT_FALSE(DecodeReplica({"i", 1, state}).ok());
  json address = ReplicaJson();
  address["addr"] = "nowhere";
  EXPECT_FALSE(DecodeReplica({"i", 1, address}).ok());
}

// Guards against an entry of another writer whose name, written into a header,
// ends it: the replica would run requests without their bodies, or requests
// that nobody sent.
TEST(ReplicaRegistrationTest, NamesThatBreakAHeaderNameNoReplica) {
  for (const std::string name :
       {"i-1\n", "i-1\r", "\r\ni-1", "i-1\r\n\r\nGET / HTTP/1.1\r\n\r\n", "",
        " i-1", "i-1 ", "i\t1", "i\x7f"}) {
    EXPECT_FALSE(DecodeReplica({name, 1, ReplicaJson()}).ok()) << name;
  }
  EXPECT_FALSE(DecodeReplica({std::string("i\0j", 3), 1, ReplicaJson()}).ok());
  EXPECT_TRUE(DecodeReplica({"i 1/ü", 1, ReplicaJson()}).ok());
}

TEST(StoreCodecTest, PagesAndEventsAreDecoded) {
  const auto page =
      DecodePage(R"({"items":[{"meta":{"name":"a","rev":3},"spec":{"x":1}}],)"
                 R"("hasMore":true,"at":9})");
  ASSERT_TRUE(page.ok());
  EXPECT_EQ(page->objects[0].name, "a");
  EXPECT_TRUE(page->has_more);
  EXPECT_EQ(page->revision, 9u);
  const auto events = DecodeEvents(
      R"({"events":[{"deleted":true,"object":{"meta":{"name":"a","rev":4}}}],)"
      R"("at":10})");
  ASSERT_TRUE(events.ok());
  EXPECT_TRUE(events->events[0].deleted);
}

std::string PageWithContent(const std::string& content) {
  return R"({"items":[{"meta":{"name":"a","rev":3},"spec":)" + content +
         R"(},{"meta":{"name":"b","rev":4},"spec":)" + ReplicaJson().dump() +
         R"(}],"hasMore":false,"at":9})";
}

// Guards against an entry of another writer that ends the process by a stack
// overflow, or that hides the entries beside it.
TEST(StoreCodecTest, DeeplyNestedEntryIsInvalidAlone) {
  constexpr size_t kDepth = 500'000;
  std::string objects;
  for (size_t i = 0; i < kDepth; ++i) {
    objects += R"({"a":)";
  }
  for (const std::string& value :
       {std::string(kDepth, '[') + std::string(kDepth, ']'),
        objects + "1" + std::string(kDepth, '}')}) {
    const auto page = DecodePage(PageWithContent(R"({"zone":)" + value + "}"));
    ASSERT_TRUE(page.ok()) << page.status();
    const std::vector<StoreObject> copies = page->objects;
    ASSERT_EQ(copies.size(), 2u);
    EXPECT_FALSE(DecodeReplica(copies[0]).ok());
    EXPECT_TRUE(DecodeReplica(copies[1]).ok());
  }
}

// Guards against an entry of another writer that cannot be read and hides the
// entries beside it.
TEST(StoreCodecTest, UnreadableEntryIsInvalidAlone) {
  for (const char* value :
       {"1e999", "\"\xff\xfe\"", R"("\ud800")", "tru", "\"\n\"", R"("\x")"}) {
    const std::string content =
        std::string(R"({"service":"s","version":)") + value + "}";
    const auto page = DecodePage(PageWithContent(content));
    ASSERT_TRUE(page.ok()) << value;
    ASSERT_EQ(page->objects.size(), 2u);
    EXPECT_EQ(page->objects[0].revision, 3u);
    EXPECT_FALSE(DecodeReplica(page->objects[0]).ok()) << value;
    EXPECT_TRUE(DecodeReplica(page->objects[1]).ok());
  }
}

// Guards against an entry without a readable name that hides the others.
TEST(StoreCodecTest, EntryWithoutReadableNameIsLeftOut) {
  const std::string valid = R"({"meta":{"name":"b","rev":4}})";
  for (const char* entry :
       {"null", "{}", R"({"meta":[]})", R"({"meta":{"rev":1}})",
        "{\"meta\":{\"name\":\"\xff\",\"rev\":1}}",
        R"({"meta":{"name":"a","rev":1e300}})"}) {
    const auto page = DecodePage(R"({"at":9,"items":[)" + std::string(entry) +
                                 "," + valid + "]}");
    ASSERT_TRUE(page.ok()) << entry;
    EXPECT_EQ(page->unreadable.size(), 1u) << entry;
    ASSERT_EQ(page->objects.size(), 1u) << entry;
    const auto events =
        DecodeEvents(R"({"at":9,"events":[{"object":)" + std::string(entry) +
                     R"(},{"object":)" + valid + "}]}");
    ASSERT_TRUE(events.ok()) << entry;
    EXPECT_EQ(events->unreadable.size(), 1u) << entry;
    EXPECT_EQ(events->events.size(), 1u) << entry;
  }
}

// Guards against metadata of another writer that hides the object's name.
TEST(StoreCodecTest, OtherMetadataIsNotRead) {
  const auto page = DecodePage(
      R"({"at":9,"items":[{"meta":{"finalizers":[1e999],"name":"a"}}]})");
  ASSERT_TRUE(page.ok());
  EXPECT_EQ(page->objects.size(), 1u);
}

// Guards against numbers that overflow the types that hold them.
TEST(StoreCodecTest, NumbersOutOfRangeAreRejected) {
  for (const char* field : {"concurrencyLimit", "born", "warmupLeftMs"}) {
    for (const double value : {1e25, 1e300, -1.0}) {
      json spec = ReplicaJson();
      spec[field] = value;
      EXPECT_FALSE(DecodeReplica({"i", 1, spec}).ok()) << field << value;
    }
  }
  for (const char* field : {"attempts", "topK", "timeoutMs", "priority"}) {
    json spec = ConfigJson();
    spec["routes"][0][field] = 1e25;
    EXPECT_FALSE(DecodeConfig({"main", 1, spec}).ok()) << field;
  }
  for (const char* at : {"1e300", "-1", "null", "\"1\""}) {
    const std::string body =
        R"({"items":[],"events":[],"at":)" + std::string(at) + "}";
    EXPECT_FALSE(DecodePage(body).ok()) << at;
    EXPECT_FALSE(DecodeEvents(body).ok()) << at;
  }
  EXPECT_FALSE(DecodePage(R"({"items":[]})").ok());
}

// A corrupt response of the store must not crash the process.
RC_GTEST_PROP(StoreCodecProperty, CorruptBodiesDoNotCrash, ()) {
  std::string text = R"({"items":[{"meta":{"name":"a","rev":3},"spec":)" +
                     ReplicaJson().dump() + R"(}],"hasMore":false,"at":9})";
  const auto position = *rc::gen::inRange<size_t>(0, text.size());
  text[position] = *rc::gen::arbitrary<char>();
  const auto page = DecodePage(text);
  if (page.ok()) {
    for (const StoreObject& object : page->objects) {
      const auto registration = DecodeReplica(object);
      RC_ASSERT(registration.ok() || !registration.status().message().empty());
    }
  }
}

HttpRequestMessage MakeRequest() {
  HttpRequestMessage message;
  message.method = "GET";
  message.target = "/a/x";
  message.fields.Add("Host", "h");
  message.fields.Add("Request-Id", "id1");
  message.fields.Add("Deadline", "800");
  message.fields.Add("Connection", "keep-alive, X-Hop");
  message.fields.Add("X-Hop", "1");
  message.fields.Add("X-End", "2");
  message.fields.Add("Target-Instance", "i-evil");
  return message;
}

// Forwarding must not lose or duplicate fields, nor forward those that only the
// tier may set.
TEST(CallerCodecTest, FieldsOfTheRequestAreForwarded) {
  const auto request = DecodeCallerRequest(MakeRequest());
  ASSERT_TRUE(request.ok());
  EXPECT_EQ(request->time_left, Millis(800));
  EXPECT_EQ(request->forwarded_fields,
            "Host: h\r\nRequest-Id: id1\r\nX-End: 2\r\n");
}

TEST(CallerCodecTest, MalformedRequestsAreRejected) {
  HttpRequestMessage no_host = MakeRequest();
  no_host.fields = {};
  EXPECT_FALSE(DecodeCallerRequest(no_host).ok());
  HttpRequestMessage absolute = MakeRequest();
  absolute.target = "http://h/a/";
  EXPECT_FALSE(DecodeCallerRequest(absolute).ok());
  HttpRequestMessage deadline;
  deadline.target = "/";
  deadline.fields.Add("Host", "h");
  deadline.fields.Add("Deadline", "soon");
  EXPECT_FALSE(DecodeCallerRequest(deadline).ok());
}

// Guards against time limits that are no finite number: timers are ordered by
// them.
TEST(CallerCodecTest, TimeLimitsAreFinite) {
  const auto decode = [](const char* text) {
    HttpRequestMessage message;
    message.target = "/";
    message.fields.Add("Host", "h");
    message.fields.Add("Deadline", text);
    return DecodeCallerRequest(std::move(message));
  };
  for (const char* text : {"nan", "NaN", "-nan", "nan(1)", "inf", "-inf",
                           "infinity", "1e400", "", " 5", "5 ", "0x5", "5ms"}) {
    EXPECT_FALSE(decode(text).ok()) << text;
  }
  const Millis day{86'400'000};
  EXPECT_EQ(decode("1e308")->time_left, day);
  EXPECT_EQ(decode("86400001")->time_left, day);
  EXPECT_EQ(decode("86400000")->time_left, day);
  EXPECT_EQ(decode("0.5")->time_left, Millis(0.5));
  EXPECT_EQ(decode("-1e308")->time_left, Millis(0));
}

TEST(CallerCodecTest, AnswersCarryWireFields) {
  FinalAnswer answer;
  answer.kind = AnswerKind::kMerged;
  answer.signatures = {"s1", "s2"};
  answer.missing_shards = 1;
  const auto merged = EncodeAnswer(answer, "id1");
  EXPECT_EQ(merged.status, 200u);
  EXPECT_EQ(*merged.fields.Find("Part-Stamps"), "s1, s2");
  EXPECT_EQ(*merged.fields.Find("Missing-Parts"), "1");
  answer.kind = AnswerKind::kRefused;
  answer.retry_after = Millis(250);
  const auto refused = EncodeAnswer(answer, "id1");
  EXPECT_EQ(refused.status, 503u);
  EXPECT_EQ(*refused.fields.Find("Retry-After"), "0.250");
}

// A refusal (503) promises that no replica ran the request. Failures and
// timeouts cannot promise that.
TEST(CallerCodecTest, FailuresAreNotReportedAsRefusals) {
  FinalAnswer answer;
  for (const AnswerKind kind : {AnswerKind::kFailed, AnswerKind::kTimedOut}) {
    answer.kind = kind;
    const unsigned status = EncodeAnswer(answer, "").status;
    EXPECT_TRUE(status == 502 || status == 504);
  }
}

class ReplyTest : public testing::Test {
 protected:
  HttpResponseMessage m_response = [] {
    HttpResponseMessage response;
    response.status = 200;
    response.fields.Add("Request-Id", "id1");
    response.fields.Add("Server-Seal", "seal");
    response.fields.Add("Load", "3,1,8");
    response.body = "body";
    return response;
  }();

  ReplyKind KindOfResponse(unsigned status, std::string_view field = "") {
    HttpResponseMessage response = m_response;
    response.status = status;
    if (!field.empty()) {
      response.fields.Add(field, "1");
    }
    return DecodeReply(response).kind;
  }
};

TEST_F(ReplyTest, ResponsesAreClassified) {
  EXPECT_EQ(KindOfResponse(200), ReplyKind::kSuccess);
  EXPECT_EQ(KindOfResponse(500), ReplyKind::kFailed);
  EXPECT_EQ(KindOfResponse(503), ReplyKind::kFailed);
  EXPECT_EQ(KindOfResponse(503, "Not-Executed"), ReplyKind::kRejected);
  EXPECT_EQ(KindOfResponse(421), ReplyKind::kMisdirected);
  EXPECT_EQ(KindOfResponse(200, "Content-Encoding"), ReplyKind::kCorrupt);
  m_response.fields = {};
  EXPECT_EQ(KindOfResponse(200), ReplyKind::kCorrupt);
}

TEST_F(ReplyTest, LoadReportIsParsed) {
  const auto load = DecodeReply(m_response).self_report.load;
  ASSERT_TRUE(load);
  EXPECT_EQ(load->running, 3u);
  EXPECT_EQ(load->waiting, 1u);
  EXPECT_EQ(load->slots, 8u);
}

// Guards against text from outside that ends a line of a request, should a
// decoder let it pass.
TEST_F(ReplyTest, NoTextEndsALineOfARequest) {
  CallerRequest request = *DecodeCallerRequest(MakeRequest());
  request.target = "/a b\r\nX: 1";
  request.tenant = "t\nX: 2";
  OutgoingAttempt attempt;
  attempt.request = std::make_shared<const CallerRequest>(request);
  attempt.replica = std::make_shared<ServingReplica>();
  attempt.replica->registration.id = "i\r\n\r\n";
  attempt.time_left = Millis(100);
  const std::string bytes = EncodeAttempt(attempt).bytes;
  EXPECT_TRUE(bytes.starts_with("GET /a%20b%0D%0AX:%201 HTTP/1.1\r\n"))
      << bytes;
  EXPECT_NE(bytes.find("\r\nTenant: t?X: 2\r\n"), std::string::npos) << bytes;
  EXPECT_NE(bytes.find("\r\nTarget-Instance: i????\r\n"), std::string::npos)
      << bytes;
  EXPECT_EQ(bytes.find("\r\n\r\n") + 4, bytes.size()) << bytes;
}

// Guards against losing the load of services that state how long work takes,
// and against accepting a malformed report.
TEST_F(ReplyTest, LoadReportMayStateTheWorkTime) {
  const auto parse = [this](const std::string& text) {
    m_response.fields = {};
    m_response.fields.Add("Load", text);
    return DecodeReply(m_response).self_report.load;
  };
  ASSERT_TRUE(parse("3,1,8"));
  EXPECT_EQ(parse("3,1,8")->work_time_percent, 100u);
  ASSERT_TRUE(parse("3,1,8,250"));
  EXPECT_EQ(parse("3,1,8,250")->slots, 8u);
  EXPECT_EQ(parse("3,1,8,250")->work_time_percent, 250u);
  for (const char* text : {"", "3", "3,1", "3,1,", "3,1,8,", "3,1,8,x",
                           "3,1,8,-5", "3,1,8,100,1", "3,1,8 "}) {
    EXPECT_FALSE(parse(text)) << text;
  }
}

// The request names its replica, because another one may have taken over the
// address, and must not state more time than is left.
TEST_F(ReplyTest, AttemptNamesReplicaAndRemainingTime) {
  OutgoingAttempt attempt;
  attempt.request = std::make_shared<const CallerRequest>(
      *DecodeCallerRequest(MakeRequest()));
  attempt.replica = std::make_shared<ServingReplica>();
  attempt.replica->registration.id = "i-1";
  attempt.time_left = Millis(123.9);
  const EncodedRequest encoded = EncodeAttempt(attempt);
  EXPECT_EQ(encoded.bytes,
            "GET /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: id1\r\nX-End: 2\r\n"
            "Deadline: 123\r\nTarget-Instance: i-1\r\n\r\n");
  EXPECT_TRUE(encoded.response_matches(m_response));
  HttpResponseMessage other;
  other.fields.Add("Request-Id", "id2");
  EXPECT_FALSE(encoded.response_matches(other));
}

// Guards against a late copy of the answer to a health check, which has no id,
// that is taken for the answer to a request.
TEST_F(ReplyTest, ResponseWithoutAnIdAnswersNoRequestThatHasOne) {
  OutgoingAttempt attempt;
  attempt.request = std::make_shared<const CallerRequest>(
      *DecodeCallerRequest(MakeRequest()));
  attempt.replica = std::make_shared<ServingReplica>();
  HttpResponseMessage without_id;
  without_id.status = 503;
  without_id.fields.Add("Not-Executed", "1");
  EXPECT_FALSE(EncodeAttempt(attempt).response_matches(without_id));
}

TEST_F(ReplyTest, HealthRequiresMatchingInstanceId) {
  ServingReplica replica;
  replica.registration.id = "i-1";
  HttpResponseMessage response;
  response.status = 200;
  response.fields.Add("Server-Leaving", "1");
  EXPECT_FALSE(DecodeProbeReply(replica, response).healthy);
  EXPECT_FALSE(DecodeProbeReply(replica, response).self_report.leaving);
  response.fields.Add("Instance-Id", "i-1");
  EXPECT_TRUE(DecodeProbeReply(replica, response).healthy);
  EXPECT_TRUE(DecodeProbeReply(replica, response).self_report.leaving);
  response.status = 503;
  EXPECT_FALSE(DecodeProbeReply(replica, response).healthy);
}

// A replica repeats the statement in every response, also in those that reject
// or fail.
TEST_F(ReplyTest, LeavingIsDecodedFromAnyResponse) {
  for (const unsigned status : {200U, 429U, 500U, 503U}) {
    m_response.status = status;
    m_response.fields = {};
    EXPECT_FALSE(DecodeReply(m_response).self_report.leaving);
    m_response.fields.Add("Server-Leaving", "1");
    EXPECT_TRUE(DecodeReply(m_response).self_report.leaving);
  }
}

// Guards against a malformed limit that is taken for a limit of zero.
TEST_F(ReplyTest, RateLimitIsDecodedFromAnyResponse) {
  EXPECT_FALSE(DecodeReply(m_response).self_report.rate_limit);
  for (const unsigned status : {200U, 429U, 500U, 503U}) {
    HttpResponseMessage response;
    response.status = status;
    response.fields.Add("Server-Limit", "23.1");
    EXPECT_EQ(DecodeReply(response).self_report.rate_limit, 23.1);
  }
  for (const char* text : {"", "-1", "many", "3 ", "inf", "nan", "1e999"}) {
    HttpResponseMessage response;
    response.fields.Add("Server-Limit", text);
    EXPECT_FALSE(DecodeReply(response).self_report.rate_limit) << text;
  }
}

// Guards against a back-off that is taken from a response that rejects nothing,
// and against a malformed one.
TEST_F(ReplyTest, BackoffIsDecodedFromRejections) {
  HttpResponseMessage response;
  response.fields.Add("Retry-After", "1.5");
  for (const unsigned status : {200U, 429U, 500U}) {
    response.status = status;
    EXPECT_FALSE(DecodeReply(response).self_report.backoff);
  }
  response.status = 503;
  EXPECT_EQ(DecodeReply(response).self_report.backoff, Millis(1500));
  response.fields = {};
  response.fields.Add("Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT");
  EXPECT_FALSE(DecodeReply(response).self_report.backoff);
}

// Guards against statements of another replica that has taken over the address.
TEST_F(ReplyTest, PartialReplyOfAnotherReplicaStatesNothing) {
  HttpResponseMessage header;
  header.fields.Add("Server-Leaving", "1");
  header.status = 421;
  EXPECT_FALSE(DecodePartialReply(header).leaving);
  header.status = 200;
  EXPECT_TRUE(DecodePartialReply(header).leaving);
}

// Guards against the loss of a replica that explicitly states that it stays.
TEST_F(ReplyTest, ZeroDoesNotMeanLeaving) {
  m_response.fields.Add("Server-Leaving", "0");
  EXPECT_FALSE(DecodeReply(m_response).self_report.leaving);
}

// Guards against a claim that is lost on its way through the store, and against
// an unreadable one, which must not hide the VM.
TEST(VmRegistrationTest, ClaimOfAVm) {
  VmRegistration registration{.id = "vm-1",
                              .gossip_address = "10.0.0.1:7740",
                              .claim = 4,
                              .write = 9,
                              .expected_revision = 7};
  const auto body = nlohmann::json::parse(EncodeVm(registration));
  EXPECT_EQ(body["meta"]["rev"], 7);
  StoreObject object{.name = "vm-1", .revision = 8, .content = body["spec"]};
  const auto vm = DecodeVm(object);
  ASSERT_TRUE(vm.ok());
  EXPECT_EQ(vm->gossip_address, "10.0.0.1:7740");
  EXPECT_EQ(vm->claim, 4u);
  EXPECT_EQ(vm->revision, 8u);
  for (const char* claim : {"-1", "null", "\"4\"", "1e300", "[]"}) {
    object.content["quotaDivisor"] = nlohmann::json::parse(claim);
    const auto unreadable = DecodeVm(object);
    ASSERT_TRUE(unreadable.ok()) << claim;
    EXPECT_EQ(unreadable->claim, std::nullopt) << claim;
  }
}

}  // namespace
}  // namespace tanagervane
