#include "Fixtures.h"

using namespace Control;
using namespace Fixtures;

namespace {

ClaimOrder claim(std::string key, std::uint64_t request, std::string host = "h1", std::uint64_t fingerprint = 1)
{
    return { { { "letters" }, { "caller" }, std::move(key) }, { fingerprint, 0 }, { request, 0 }, { std::move(host) },
        { 1 } };
}
CompleteOrder complete(std::string key, std::uint64_t request, std::string body = "ok")
{
    return { claim(std::move(key), 0).key, { request, 0 }, KeptAnswer { 200, "text/plain", std::move(body) } };
}
AbandonOrder abandon(std::string key, std::uint64_t request)
{
    return { claim(std::move(key), 0).key, { request, 0 } };
}

/// Replica with entry hosts h1 and h2 and a ledger for 4 records and 10 bytes of responses.
struct OrderFixture : Replica {
    OrderFixture()
        : Replica({ .maxRecords = 4, .maxAnswerBytes = 10 })
    {
        expect<Accepted>(JoinEntryHost { entryHost("h1") });
        expect<Accepted>(JoinEntryHost { entryHost("h2") });
    }
    /// Advances the state's clock.
    void advanceClock(Core::Duration duration)
    {
        for (; duration > Core::Duration::zero(); duration -= maxClockStep)
            expect<Accepted>(ExpireRecords { std::min(duration, maxClockStep) });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Orders, OrderFixture)

// Guards against an order that runs again when the caller resends it through another entry host.
BOOST_AUTO_TEST_CASE(AResendNeverRunsAgain)
{
    expect<OrderClaimed>(claim("k", 1));
    expect<OrderInProgress>(claim("k", 2, "h2"));
    expect<OrderInProgress>(claim("k", 1, "h2"));
    expect<OrderClaimed>(claim("k", 1));
    expect<OrderNotClaimed>(complete("k", 2));
    expect<OrderRecorded>(complete("k", 1));
    BOOST_TEST(expect<OrderCompleted>(claim("k", 3, "h2")).answer->body == "ok");
    expect<OrderNotClaimed>(abandon("k", 1));
    expect<OrderMismatch>(claim("k", 3, "h2", 99));
}

// Guards against running an order whose first attempt may have run through an entry host that was lost.
BOOST_AUTO_TEST_CASE(ClaimsOfARemovedEntryHostAreUnknown)
{
    expect<OrderClaimed>(claim("k", 1));
    expect<OrderClaimed>(claim("other", 2, "h2"));
    expect<Accepted>(RemoveEntryHost { { "h1" }, { 1 }, { 1 } });
    expect<OrderUnknown>(claim("k", 3, "h2"));
    expect<OrderInProgress>(claim("other", 4, "h2"));
    expect<ClaimantNotLive>(claim("late", 5));
    // If the removed host was only slow, a completion that it reports is still valid, but an abandonment must not allow
    // the order to run again.
    expect<OrderNotClaimed>(abandon("k", 1));
    expect<OrderRecorded>(complete("k", 1));
    expect<OrderCompleted>(claim("k", 6, "h2"));
    expect<Accepted>(JoinEntryHost { entryHost("h2", 2) });
    expect<ClaimantNotLive>(claim("new", 7, "h2"));
}

// Guards against an order that stays in progress forever because its claim arrived after the attempt was abandoned.
BOOST_AUTO_TEST_CASE(AnAbandonedAttemptCannotClaimAgain)
{
    expect<OrderNotClaimed>(abandon("k", 1));
    expect<OrderAbandoned>(claim("k", 1));
    expect<OrderClaimed>(claim("k", 2));
    expect<OrderRecorded>(abandon("k", 2));
    expect<OrderAbandoned>(claim("k", 2));
    expect<OrderClaimed>(claim("k", 3, "h2", 99));
}

// Guards against a record that is dropped while its caller may still resend the order.
BOOST_AUTO_TEST_CASE(AFullLedgerRejectsClaimsAndKeepsRecords)
{
    for (auto const* key : { "a", "b", "c", "d" })
        expect<OrderClaimed>(claim(key, 1));
    expect<LedgerFull>(claim("e", 1));
    expect<OrderClaimed>(claim("a", 1));
    advanceClock(24h - 1min);
    expect<LedgerFull>(claim("e", 1));
    expect<OrderInProgress>(claim("a", 2));
    advanceClock(1min);
    expect<OrderClaimed>(claim("e", 1));
    BOOST_TEST(state.ledger().size() == 1U);
}

// Guards against unbounded memory use: responses beyond the limit are not stored, but the outcome is.
BOOST_AUTO_TEST_CASE(AnswersAreBounded)
{
    for (auto const* key : { "a", "b" }) {
        expect<OrderClaimed>(claim(key, 1));
        expect<OrderRecorded>(complete(key, 1, "12345678"));
    }
    BOOST_TEST(expect<OrderCompleted>(claim("a", 2)).answer.has_value());
    BOOST_TEST(!expect<OrderCompleted>(claim("b", 2)).answer.has_value());
    advanceClock(24h);
    BOOST_TEST(state.ledger().answerBytes() == 0U);
}

// Guards against a ledger that fills up with abandoned attempts.
BOOST_AUTO_TEST_CASE(AbandonedAttemptsExpireEarly)
{
    expect<OrderClaimed>(claim("a", 1));
    expect<OrderRecorded>(abandon("a", 1));
    expect<OrderClaimed>(claim("b", 1));
    expect<OrderRecorded>(abandon("b", 1));
    expect<OrderClaimed>(claim("b", 2));
    advanceClock(10min);
    BOOST_TEST(state.ledger().find(claim("a", 0).key) == nullptr);
    expect<OrderInProgress>(claim("b", 3));
}

BOOST_AUTO_TEST_CASE(AnOrderMarkedUnknownIsNotRun)
{
    expect<OrderClaimed>(claim("k", 1));
    expect<OrderNotClaimed>(MarkOrderUnknown { claim("k", 0).key, { 2, 0 } });
    expect<OrderRecorded>(MarkOrderUnknown { claim("k", 0).key, { 1, 0 } });
    expect<OrderUnknown>(claim("k", 2));
    expect<OrderInvalid>(claim("", 1));
    expect<OrderInvalid>(claim(std::string(maxNameBytes + 1, 'k'), 1));
}

BOOST_AUTO_TEST_SUITE_END()
