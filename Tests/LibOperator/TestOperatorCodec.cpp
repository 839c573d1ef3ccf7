#include <LibOperator/OperatorCodec.h>

#include <boost/test/unit_test.hpp>

using namespace Operator;
using namespace std::chrono_literals;

namespace {

Routing::RouteDefinition fullRoute()
{
    return { { "r" }, { "a" }, "site.example", { "GET", "POST" }, "/x", Routing::HeaderCondition { "X-Kind", "v" },
        Routing::KeyFromQuery { "q" }, Routing::RequestClass::Idempotent, Routing::Priority::Interactive, 1500ms, 7 };
}

template <typename T> bool survives(T const& value)
{
    auto const decoded = decode<T>(encode(value));
    if (decoded.isError())
        BOOST_TEST_MESSAGE(encode(value) << " " << decoded.error().field << " " << decoded.error().reason);
    return !decoded.isError() && decoded.value() == value;
}

template <typename T> std::string faultyField(std::string_view json)
{
    auto const decoded = decode<T>(json);
    return decoded.isError() ? decoded.error().field : "none";
}

} // namespace

BOOST_AUTO_TEST_SUITE(Codec)

// Guards against fields that one direction forgets: each value differs from its default.
BOOST_AUTO_TEST_CASE(MessagesAreReadBackUnchanged)
{
    BOOST_TEST(survives(StatusResponse { { "letters" }, { "c1" }, Core::HostName { "c2" }, 3, true, { 9 }, { 8 },
        { { { "c2" }, { "fd1" }, true, false, true, 4 } }, { { { "e1" }, { "fd2" }, { 8 }, true } } }));
    BOOST_TEST(survives(StatusResponse {}));
    BOOST_TEST(survives(
        PoolsResponse { { 9 }, { { { { "a" }, Routing::PoolKind::KeyPartitioned, 64, 2 }, 1, 2, 3, 4, 5, 6 } } }));
    BOOST_TEST(survives(RoutesResponse { { 9 }, { fullRoute(), { { "s" }, { "a" } } } }));
    BOOST_TEST(survives(BackendsResponse {
        { { { { "s1" }, { "a" }, { "10.0.0.1", 80 }, { "fd1" }, { 5 }, 4, 100, true, Routing::ServerState::Draining },
            7, 2, 3, true, 300ms } } }));
    BOOST_TEST(survives(DomainsResponse { { { { "fd1" }, DomainState::Returning, 5, 3, 2 } } }));
    BOOST_TEST(survives(OwnersResponse {
        { "a" }, { { { 0 }, { 9 }, Routing::SlotPhase::Releasing, { 4 }, { "s1" } }, { { 10 }, { 11 } } } }));
    BOOST_TEST(survives(UsageResponse { 1, { { { { "a" }, { "r" }, { "bank" } }, { 1, 2, 3, 4, 5, 6, 7, 8 } } } }));
    BOOST_TEST(survives(HistoryResponse { { { { 3 }, { "e-1" }, "ann", "why", 1'796'349'123'456 } } }));
    BOOST_TEST(survives(TablesResponse { { 3 }, { { { "a" } } }, { fullRoute() } }));
    BOOST_TEST(survives(EditRequest { { "e-1" }, { 2 }, "ann", "why", { { { "a" } } }, { fullRoute() } }));
    BOOST_TEST(survives(EditResponse { { 3 }, true }));
    BOOST_TEST(survives(DrainRequest { { "e-1" }, Core::ServerName { "s1" }, "ann", "why" }));
    BOOST_TEST(survives(DrainRequest { { "e-1" }, Core::FailureDomain { "fd1" }, "ann", "" }));
    BOOST_TEST(survives(ReturnRequest { { "e-1" }, Core::FailureDomain { "fd1" }, "ann", "why" }));
    BOOST_TEST(survives(ServiceResponse { { { "s1" }, { "s2" } } }));
    BOOST_TEST(survives(QuarantineResponse { { { { 1, ~0ULL }, { "r" }, 2, 10min } } }));
    BOOST_TEST(survives(LiftQuarantineResponse {}));
    BOOST_TEST(survives(WaitResponse { { 3 } }));
    TablesResponse const before { { 3 }, { { { "a" } }, { { "b" } } }, { fullRoute() } };
    auto changed = fullRoute();
    changed.deadline = 2s;
    auto const diff = compareTables(before, { { 4 }, { { { "b" } }, { { "c" } } }, { changed } });
    BOOST_TEST(diff.pools.size() == 2U);
    BOOST_TEST((diff.pools[0].kind == ChangeKind::Removed && diff.pools[1].kind == ChangeKind::Added));
    BOOST_TEST((diff.routes.at(0).kind == ChangeKind::Changed && diff.routes[0].after == changed));
    BOOST_TEST(survives(diff));
}

BOOST_AUTO_TEST_CASE(EachErrorIsReadBackAndHasItsStatus)
{
    auto const check = [](OperatorError const& error, int status) {
        BOOST_TEST((decodeError(encodeError(error)) == error));
        BOOST_TEST(httpStatusOf(error) == status);
    };
    check(NotLeader {}, 421);
    check(NotLeader { Core::HostName { "c2" }, Core::Endpoint { "::1", 80 } }, 421);
    check(Conflict { { 7 } }, 409);
    check(EditIdReused { { "e-1" } }, 409);
    check(InvalidEdit { { "x", "y" } }, 422);
    check(NotFound { Subject::Fingerprint, "f" }, 404);
    check(Unavailable { "no quorum" }, 503);
    check(Timeout { 5s }, 504);
    check(BadRequest { "id", "is missing" }, 400);
}

// Guards against requests that are understood in part, and against unspecific errors.
BOOST_AUTO_TEST_CASE(FaultyMessagesNameTheField)
{
    BOOST_TEST(faultyField<EditRequest>("{") == "body");
    BOOST_TEST(faultyField<EditRequest>("[]") == "body");
    BOOST_TEST(faultyField<EditRequest>("{}") == "id");
    std::string const head = R"({"id":"e","base":1,"author":"ann","routes":[],)";
    BOOST_TEST(faultyField<EditRequest>(head + R"("pools":[]})") == "none");
    BOOST_TEST(faultyField<EditRequest>(head + R"("pools":[],"cometn":""})") == "body");
    BOOST_TEST(faultyField<EditRequest>(head + R"("pools":{}})") == "pools");
    BOOST_TEST(faultyField<EditRequest>(head + R"("pools":[{"name":"a"},{"name":"b","slots":4294967296}]})")
        == "pools[1].slots");
    BOOST_TEST(faultyField<EditRequest>(head + R"("pools":[{"name":"a","slots":-1}]})") == "pools[0].slots");
    BOOST_TEST(faultyField<EditRequest>(head + R"("pools":[{"name":"a","kind":"any"}]})") == "pools[0].kind");
    BOOST_TEST(faultyField<EditRequest>(head + R"("pools":[{"name":"a","slot":1}]})") == "pools[0]");
    BOOST_TEST(faultyField<DrainRequest>(R"({"id":"e","author":"ann"})") == "server");
    BOOST_TEST(faultyField<DrainRequest>(R"({"id":"e","author":"ann","server":"s","domain":"d"})") == "server");
    BOOST_TEST(faultyField<LiftQuarantineRequest>(R"({"fingerprint":"00","author":"ann"})") == "fingerprint");
    for (std::string const text : { "", "[]", R"({"error":"none","details":{}})", R"({"error":"conflict"})",
             R"({"error":"conflict","details":{}})", R"({"error":1,"details":{}})", "<html>" })
        BOOST_TEST(!decodeError(text).has_value());
    // A newer server may send more.
    BOOST_TEST(faultyField<WaitResponse>(R"({"inEffectEverywhere":3,"more":1})") == "none");
}

BOOST_AUTO_TEST_SUITE_END()
