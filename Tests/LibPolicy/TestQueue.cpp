#include "GroupFixture.h"

#include <LibPolicy/FairQueue.h>

namespace {

QueueItem item(std::uint64_t ticket, std::uint64_t caller = 1, Core::Duration deadline = 1s,
    Routing::Priority priority = Routing::Priority::Normal)
{
    return { { ticket }, priority, caller, Core::TimePoint { deadline } };
}

std::vector<std::uint64_t> drain(FairQueue& queue, std::size_t count)
{
    std::vector<std::uint64_t> tickets;
    while (tickets.size() < count) {
        auto const next = queue.pop();
        if (!next)
            break;
        tickets.push_back(next->ticket.value);
    }
    return tickets;
}

using Tickets = std::vector<std::uint64_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(Queue)

/// Guards against serving requests with a late deadline before requests that are about to expire.
BOOST_AUTO_TEST_CASE(DeadlineOrderWithinOneCaller)
{
    FairQueue queue(QueueSettings {});
    queue.push(item(1, 1, 3s));
    queue.push(item(2, 1, 1s));
    queue.push(item(3, 1, 2s));
    BOOST_TEST((drain(queue, 3) == Tickets { 2, 3, 1 }));
}

/// Guards against one busy caller that delays all others.
BOOST_AUTO_TEST_CASE(CallersAreServedRoundRobin)
{
    FairQueue queue(QueueSettings {});
    for (std::uint64_t ticket = 1; ticket <= 10; ++ticket)
        queue.push(item(ticket, 1, Core::Duration(ticket)));
    queue.push(item(11, 2, 1h));
    queue.push(item(12, 2, 2h));
    BOOST_TEST((drain(queue, 4) == Tickets { 1, 11, 2, 12 }));
    BOOST_TEST(queue.ahead(item(13, 2)) == 1U);
}

/// Guards against starvation of bulk work, and against bulk work that delays stock checks.
BOOST_AUTO_TEST_CASE(BulkWorkKeepsASmallShare)
{
    FairQueue queue(QueueSettings {});
    for (std::uint64_t ticket = 1; ticket <= 200; ++ticket) {
        queue.push(item(ticket, 1, Core::Duration(ticket), Routing::Priority::Interactive));
        queue.push(item(1000 + ticket, 2, Core::Duration(ticket), Routing::Priority::Bulk));
    }
    auto const tickets = drain(queue, 170);
    auto const bulk = std::ranges::count_if(tickets, [](auto ticket) { return ticket > 1000; });
    BOOST_TEST(bulk == 10);
    BOOST_TEST(tickets.front() < 1000U);
}

/// Guards against a queue without bound, and against a single caller that fills it.
BOOST_AUTO_TEST_CASE(QueueAndShareOfACallerAreBounded)
{
    FairQueue queue({ .maxQueuedRequests = 4 });
    BOOST_TEST(queue.push(item(1)));
    BOOST_TEST(queue.push(item(2)));
    BOOST_TEST(!queue.push(item(3)));
    BOOST_TEST(queue.push(item(4, 2)));
    BOOST_TEST(queue.push(item(5, 3)));
    BOOST_TEST(!queue.push(item(6, 4)));
    BOOST_TEST(!queue.evictFor(item(6, 4)));
    auto const interactive = item(7, 4, 1s, Routing::Priority::Interactive);
    BOOST_TEST(queue.evictFor(interactive)->ticket.value == 5U);
    BOOST_TEST(queue.push(interactive));
}

/// Guards against items that remain in an internal index of the queue after removal in any order.
BOOST_AUTO_TEST_CASE(RemovalErasesAllIndexes)
{
    FairQueue queue(QueueSettings {});
    for (std::uint64_t ticket = 1; ticket <= 30; ++ticket)
        queue.push(item(ticket, ticket % 4));
    for (std::uint64_t ticket = 1; ticket <= 30; ticket += 2)
        BOOST_TEST(queue.remove(item(ticket, ticket % 4)));
    BOOST_TEST(!queue.remove(item(1, 1)));
    BOOST_TEST(drain(queue, 30).size() == 15U);
    BOOST_TEST(queue.size() == 0U);
    BOOST_TEST(!queue.pop());
}

/// Guards against queueing requests that cannot be answered in time, instead of refusing them immediately.
BOOST_AUTO_TEST_CASE(UnmeetableDeadlineIsRefusedEarlyWithRetryAfter)
{
    GroupFixture fixture;
    fixture.addServer("a");
    for (int i = 0; i < 30; ++i) {
        auto const permit = fixture.granted(fixture.ownedBy("a"));
        fixture.advance(100ms);
        fixture.release(permit, AttemptOutcome::Answered, 100ms);
        fixture.send(ServerCold { { "a" } });
    }
    fixture.granted(fixture.ownedBy("a"));
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(fixture.acquire(fixture.ownedBy("a")).empty());
    auto urgent = fixture.ownedBy("a");
    urgent.deadline = fixture.now + 300ms;
    auto const refusal = fixture.refused(urgent);
    BOOST_TEST((refusal.reason == RefusalReason::DeadlineUnreachable));
    BOOST_TEST(refusal.retryAfter > 200ms);
    BOOST_TEST(refusal.retryAfter < 2s);
}

/// Guards against a latency estimate that is too high and refuses all work for ever.
BOOST_AUTO_TEST_CASE(EarlyRefusalRecoversWithoutAnswers)
{
    GroupFixture fixture;
    fixture.addServer("a");
    auto const slow = fixture.granted(fixture.ownedBy("a"));
    fixture.advance(1s);
    fixture.release(slow, AttemptOutcome::Answered, 1s);
    fixture.advance(300ms);
    int refusals = 0;
    for (; refusals < 1000; ++refusals) {
        auto request = fixture.ownedBy("a");
        request.deadline = fixture.now + 50ms;
        if (std::holds_alternative<Granted>(fixture.acquire(request).front()))
            break;
    }
    BOOST_TEST(refusals < 500);
}

/// Guards against refusals at overload that push the latency estimate to zero, after which every answer looks slow and
/// marks its server cold.
BOOST_AUTO_TEST_CASE(RefusalsDoNotDistortTheEstimateWhileAnswersArrive)
{
    GroupFixture fixture;
    fixture.addServer("a");
    fixture.warm("a");
    for (int i = 0; i < 20; ++i) {
        auto const permit = fixture.granted(fixture.ownedBy("a"));
        for (int n = 0; n < 100; ++n) {
            auto unmeetable = fixture.ownedBy("a");
            unmeetable.deadline = fixture.now + 10ms;
            fixture.refused(unmeetable);
        }
        fixture.advance(20ms);
        fixture.release(permit, AttemptOutcome::Answered, 20ms);
    }
    BOOST_TEST(fixture.status("a").limit == 2);
    BOOST_TEST(fixture.status("a").slowness < 1.5);
}

BOOST_AUTO_TEST_SUITE_END()
