#include <LibConsensus/Codec.h>
#include <LibConsensus/Node.h>
#include <LibCore/Hash.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Consensus;
using namespace std::chrono_literals;

namespace {

Core::ClusterId const cluster { "cluster" };
Core::HostName const a { "a" };
Core::HostName const b { "b" };
Core::HostName const c { "c" };

LogEntry command(std::uint64_t index, std::uint64_t term, std::string payload = "x")
{
    return { { term }, { index }, Command { std::move(payload) } };
}

template <typename Body> std::vector<Body> bodies(Actions const& actions)
{
    std::vector<Body> found;
    for (auto const& message : actions.messages) {
        if (auto const* body = std::get_if<Body>(&message.body))
            found.push_back(*body);
    }
    return found;
}

/// Drives the node of host `a` in a cluster of the voters a, b and c, event by event.
class Driver {
public:
    explicit Driver(std::vector<LogEntry> entries = {}, std::uint64_t term = 1, Settings settings = {})
        : node_(settingsFor(std::move(settings)), stateFor(std::move(entries), term), 7, now_)
    {
    }

    Actions step(Event event)
    {
        auto actions = node_.step(now_, std::move(event));
        for (auto const& request : actions.persist)
            lastWrite_ = request.sequence;
        return actions;
    }
    Actions receive(Core::HostName const& from, std::uint64_t term, MessageBody body)
    {
        return step(MessageReceived { { cluster, from, a, { term }, std::move(body) } });
    }
    Actions durable() { return step(Persisted { lastWrite_ }); }
    void wait(Core::Duration duration) { now_ += duration; }

    /// Advances time until the node starts a pre-vote. Returns the actions of that step.
    Actions timeOut()
    {
        for (int tick = 0; tick < 1000; ++tick) {
            now_ += 10ms;
            auto actions = step(Tick {});
            if (!bodies<VoteRequest>(actions).empty())
                return actions;
        }
        BOOST_FAIL("the node did not request votes");
        return {};
    }

    /// Wins an election with the vote of `b`. Returns the actions of the step in which it becomes leader.
    Actions win()
    {
        timeOut();
        auto const next = node_.term().next();
        receive(b, node_.term().value, VoteResponse { next, true, true });
        durable();
        return receive(b, next.value, VoteResponse { next, true, false });
    }

    /// Wins an election and commits the first entry of the leader.
    void lead()
    {
        win();
        durable();
        acknowledge(b, node_.lastIndex());
    }

    Actions acknowledge(Core::HostName const& from, LogIndex match, std::uint64_t round = 1)
    {
        return receive(from, node_.term().value,
            AppendResponse { .round = { round }, .matchIndex = match, .receivedIndex = match });
    }

    Node& node() { return node_; }
    Core::TimePoint now() const { return now_; }

private:
    static Settings settingsFor(Settings settings)
    {
        settings.clusterId = cluster;
        settings.host = a;
        return settings;
    }
    static RecoveredState stateFor(std::vector<LogEntry> entries, std::uint64_t term)
    {
        auto state = bootstrapState(Configuration::ofVoters({ { a, {} }, { b, {} }, { c, {} } }));
        state.hardState.term = { term };
        std::ranges::move(entries, std::back_inserter(state.entries));
        return state;
    }

    Core::TimePoint now_ { 1000s };
    Node node_;
    PersistSequence lastWrite_;
};

Propose propose(std::uint64_t token, std::string payload = "x") { return { { { { token }, std::move(payload) } } }; }

template <typename Outcome> bool hasOutcome(Actions const& actions, std::uint64_t token)
{
    return std::ranges::any_of(actions.proposals, [&](auto const& answer) {
        return answer.token.value == token && std::holds_alternative<Outcome>(answer.outcome);
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Nodes)

BOOST_AUTO_TEST_CASE(TermRisesOnlyAfterAPreVote)
{
    Driver driver;
    for (int i = 0; i < 20; ++i) {
        auto const actions = driver.timeOut();
        BOOST_REQUIRE(bodies<VoteRequest>(actions).size() == 2U);
        BOOST_TEST(bodies<VoteRequest>(actions).front().isPreVote);
        BOOST_TEST(driver.node().term().value == 1U);
    }
    driver.receive(b, 1, VoteResponse { { 2 }, true, true });
    BOOST_TEST(driver.node().term().value == 2U);
}

BOOST_AUTO_TEST_CASE(PreVoteIsDeniedWhileTheLeaderIsActive)
{
    Driver driver;
    driver.receive(b, 1, Heartbeat { { 1 }, {} });
    driver.wait(300ms);
    auto refused = driver.receive(c, 1, VoteRequest { { 2 }, { 9 }, { 1 }, true, false });
    BOOST_TEST(!bodies<VoteResponse>(refused).at(0).isGranted);
    // A vote request with a higher term does not change the term either.
    auto const ignored = driver.receive(c, 2, VoteRequest { { 2 }, { 9 }, { 1 }, false, false });
    BOOST_TEST(ignored.messages.empty());
    BOOST_TEST(driver.node().term().value == 1U);
    driver.wait(150ms);
    auto const granted = driver.receive(c, 1, VoteRequest { { 2 }, { 9 }, { 1 }, true, false });
    BOOST_TEST(bodies<VoteResponse>(granted).at(0).isGranted);
    BOOST_TEST(driver.node().term().value == 1U);
}

BOOST_AUTO_TEST_CASE(RecentlyStartedHostDoesNotVote)
{
    // The host may have heard from the leader just before it restarted.
    Driver driver;
    driver.wait(300ms);
    auto const actions = driver.receive(c, 1, VoteRequest { { 2 }, { 9 }, { 1 }, true, false });
    BOOST_TEST(!bodies<VoteResponse>(actions).at(0).isGranted);
}

BOOST_AUTO_TEST_CASE(VoteIsSentOnlyOnceItIsDurable)
{
    Driver driver;
    driver.wait(401ms);
    auto const actions = driver.receive(b, 2, VoteRequest { { 2 }, { 1 }, { 1 }, false, false });
    BOOST_TEST(actions.messages.empty());
    BOOST_REQUIRE(!actions.persist.empty());
    BOOST_TEST((actions.persist.back().hardState == HardState { { 2 }, b }));
    auto const later = driver.durable();
    BOOST_TEST(bodies<VoteResponse>(later).at(0).isGranted);
    // There is one vote per term, but the same candidate may request it again.
    auto const other = driver.receive(c, 2, VoteRequest { { 2 }, { 9 }, { 1 }, false, false });
    BOOST_TEST(!bodies<VoteResponse>(other).at(0).isGranted);
    auto const again = driver.receive(b, 2, VoteRequest { { 2 }, { 1 }, { 1 }, false, false });
    BOOST_TEST(bodies<VoteResponse>(again).at(0).isGranted);
    BOOST_TEST(again.persist.empty());
}

BOOST_AUTO_TEST_CASE(VoteSurvivesARestart)
{
    auto state = bootstrapState(Configuration::ofVoters({ { a, {} }, { b, {} }, { c, {} } }));
    state.hardState = { { 2 }, b };
    Settings settings;
    settings.clusterId = cluster;
    settings.host = a;
    Core::TimePoint const start { 5s };
    Node node(settings, state, 1, start);
    VoteRequest const request { { 2 }, { 9 }, { 1 }, false, false };
    auto const refused = node.step(start + 500ms, MessageReceived { { cluster, c, a, { 2 }, request } });
    BOOST_TEST(!bodies<VoteResponse>(refused).at(0).isGranted);
    auto const granted = node.step(start + 501ms, MessageReceived { { cluster, b, a, { 2 }, request } });
    BOOST_TEST(bodies<VoteResponse>(granted).at(0).isGranted);
}

BOOST_AUTO_TEST_CASE(CandidateRequestsVotesOnlyOnceItsOwnVoteIsDurable)
{
    Driver driver;
    driver.timeOut();
    auto const candidacy = driver.receive(b, 1, VoteResponse { { 2 }, true, true });
    BOOST_TEST(candidacy.messages.empty());
    BOOST_TEST((driver.node().role() == Role::Candidate));
    // A vote alone is not enough while the node's own vote is not durable. Such a response can only answer a request
    // that was sent before a restart.
    driver.receive(b, 2, VoteResponse { { 2 }, true, false });
    BOOST_TEST((driver.node().role() == Role::Candidate));
    auto const requests = driver.durable();
    BOOST_TEST((driver.node().role() == Role::Leader));
    BOOST_TEST(bodies<VoteRequest>(requests).size() == 2U);
}

BOOST_AUTO_TEST_CASE(VoteNeedsAnUpToDateLog)
{
    Driver driver({ command(2, 1), command(3, 2) }, 2);
    driver.wait(401ms);
    auto const requestVote = [&](std::uint64_t term, std::uint64_t index, std::uint64_t lastTerm) {
        auto actions = driver.receive(b, term, VoteRequest { { term }, { index }, { lastTerm }, false, true });
        auto const later = driver.durable();
        std::ranges::copy(later.messages, std::back_inserter(actions.messages));
        return bodies<VoteResponse>(actions).at(0).isGranted;
    };
    BOOST_TEST(!requestVote(3, 2, 2));
    BOOST_TEST(!requestVote(4, 99, 1));
    BOOST_TEST(requestVote(5, 3, 2));
}

BOOST_AUTO_TEST_CASE(AppendIsAcknowledgedOnlyOnceItIsDurable)
{
    Driver driver;
    auto const actions
        = driver.receive(b, 1, AppendRequest { { 1 }, { 1 }, { 1 }, { 1 }, true, { command(2, 1), command(3, 1) } });
    auto const early = bodies<AppendResponse>(actions).at(0);
    BOOST_TEST(early.matchIndex.value == 1U);
    BOOST_TEST(early.receivedIndex.value == 3U);
    // A heartbeat is answered immediately, and its response does not acknowledge the entries either.
    auto const heartbeat = bodies<HeartbeatResponse>(driver.receive(b, 1, Heartbeat { { 2 }, {} })).at(0);
    BOOST_TEST(heartbeat.matchIndex.value == 1U);
    auto const later = bodies<AppendResponse>(driver.durable()).at(0);
    BOOST_TEST(later.matchIndex.value == 3U);
    BOOST_TEST(later.round.value == 2U);
}

BOOST_AUTO_TEST_CASE(ReplacedEntriesDoNotCountAsDurable)
{
    Driver driver;
    driver.receive(b, 1, AppendRequest { { 1 }, { 1 }, { 1 }, {}, true, { command(2, 1), command(3, 1) } });
    // The write of the entries of term 1 becomes durable only after they were replaced.
    auto const replaced
        = driver.receive(c, 2, AppendRequest { { 1 }, { 1 }, { 1 }, {}, true, { command(2, 2), command(3, 2) } });
    auto const first = driver.step(Persisted { { 1 } });
    for (auto const& response : bodies<AppendResponse>(first))
        BOOST_TEST(response.matchIndex.value <= 1U);
    BOOST_TEST(bodies<AppendResponse>(replaced).empty());
    auto const all = bodies<AppendResponse>(driver.durable());
    BOOST_TEST(all.back().matchIndex.value == 3U);
}

BOOST_AUTO_TEST_CASE(LeaderCountsItselfOnlyOnceItsEntryIsDurable)
{
    Driver driver;
    driver.lead();
    auto const sent = driver.step(propose(1));
    // The leader sends the entry before its own write is durable.
    BOOST_TEST(!bodies<AppendRequest>(sent).empty());
    auto const index = driver.node().lastIndex();
    auto const early = driver.acknowledge(b, index);
    BOOST_TEST(!hasOutcome<Committed>(early, 1));
    BOOST_TEST((driver.node().commitIndex() < index));
    auto const later = driver.durable();
    BOOST_TEST(hasOutcome<Committed>(later, 1));
    BOOST_REQUIRE(later.committed.size() == 1U);
    BOOST_TEST((later.committed.front().index == index));
}

BOOST_AUTO_TEST_CASE(OnlyEntriesOfTheCurrentTermAreCommittedByCountingReplicas)
{
    // Figure 8 of the Raft paper: a majority has entry 2 of term 2, but a leader of term 3 could still replace it.
    Driver driver({ command(2, 2) }, 3);
    driver.win();
    driver.durable();
    BOOST_TEST(driver.node().term().value == 4U);
    auto const early = driver.acknowledge(b, { 2 });
    BOOST_TEST(early.committed.empty());
    BOOST_TEST(driver.node().commitIndex().value == 0U);
    auto const later = driver.acknowledge(b, { 3 });
    BOOST_TEST(later.committed.size() == 3U);
}

BOOST_AUTO_TEST_CASE(ReadNeedsARoundThatStartedAfterIt)
{
    Driver driver;
    driver.lead();
    auto const request = driver.step(RequestRead { { { 5 } } });
    BOOST_TEST(request.reads.empty());
    auto const round = bodies<Heartbeat>(request).at(0).round;
    auto const match = driver.node().lastIndex();
    auto const old = driver.receive(b, 2, HeartbeatResponse { { round.value - 1 }, match, match });
    BOOST_TEST(old.reads.empty());
    auto const confirmed = driver.receive(c, 2, HeartbeatResponse { round, {}, {} });
    BOOST_REQUIRE(confirmed.reads.size() == 1U);
    BOOST_TEST((std::get<ReadReady>(confirmed.reads[0].outcome).index == driver.node().commitIndex()));
}

BOOST_AUTO_TEST_CASE(ReadAndChangeWaitForAnEntryOfTheOwnTerm)
{
    Driver driver;
    driver.win();
    driver.durable();
    BOOST_TEST(!driver.node().status().isLeaderReady);
    auto const read = driver.step(RequestRead { { { 5 } } });
    auto const change = driver.step(RequestChange { { 6 }, RemoveMember { c } });
    BOOST_REQUIRE(change.proposals.size() == 1U);
    BOOST_TEST((std::get<ChangeRefused>(change.proposals[0].outcome).reason == ChangeRefusal::LeaderNotReady));
    auto const confirmed = driver.receive(b, 2, HeartbeatResponse { { 1 }, {}, {} });
    BOOST_TEST(read.reads.empty());
    BOOST_TEST(confirmed.reads.empty());
    auto const ready = driver.acknowledge(b, driver.node().lastIndex());
    auto const round = bodies<Heartbeat>(ready).at(0).round;
    BOOST_TEST(driver.receive(b, 2, HeartbeatResponse { round, {}, {} }).reads.size() == 1U);
}

BOOST_AUTO_TEST_CASE(PausedLeaderStepsDownBeforeHandlingEvents)
{
    auto const check = [](auto event) {
        Driver driver;
        driver.lead();
        driver.wait(10s);
        auto const actions = driver.step(std::move(event));
        BOOST_TEST((driver.node().role() != Role::Leader));
        BOOST_TEST(bodies<AppendRequest>(actions).empty());
        BOOST_TEST(bodies<Heartbeat>(actions).empty());
        BOOST_TEST(bodies<SnapshotChunk>(actions).empty());
        BOOST_TEST(actions.committed.empty());
        for (auto const& answer : actions.proposals)
            BOOST_TEST(std::holds_alternative<NotLeader>(answer.outcome));
        for (auto const& answer : actions.reads)
            BOOST_TEST(std::holds_alternative<NotLeader>(answer.outcome));
        BOOST_TEST(!driver.node().authorityUntil().has_value());
    };
    check(propose(1));
    check(RequestRead { { { 1 } } });
    check(Tick {});
    check(RequestChange { { 1 }, RemoveMember { c } });
    check(
        MessageReceived { { cluster, b, a, { 2 }, AppendResponse { { 1 }, AppendOutcome::Accepted, { 2 }, { 2 } } } });
}

BOOST_AUTO_TEST_CASE(LeaderWithoutAQuorumStepsDown)
{
    Driver driver;
    driver.lead();
    for (int i = 0; i < 45 && driver.node().role() == Role::Leader; ++i) {
        driver.wait(10ms);
        driver.step(Tick {});
    }
    BOOST_TEST((driver.node().role() == Role::Follower));
}

BOOST_AUTO_TEST_CASE(AuthorityIsCountedFromTheStartOfTheAcknowledgedRound)
{
    Driver driver;
    driver.win();
    driver.durable();
    BOOST_TEST(!driver.node().authorityUntil().has_value());
    auto const start = driver.now();
    driver.wait(50ms);
    driver.acknowledge(b, driver.node().lastIndex(), 1);
    BOOST_TEST((driver.node().authorityUntil() == start + 392ms));
    driver.step(RequestTransfer { b });
    BOOST_TEST(!driver.node().authorityUntil().has_value());
}

BOOST_AUTO_TEST_CASE(AppendsInFlightAreLimited)
{
    Settings settings;
    settings.maxAppendsInFlight = 3;
    settings.maxBytesPerAppend = 200;
    Driver driver({}, 1, settings);
    driver.lead();
    std::size_t sent = 0;
    for (std::uint64_t token = 1; token <= 20; ++token) {
        auto const actions = driver.step(propose(token, std::string(100, 'x')));
        sent += static_cast<std::size_t>(std::ranges::count_if(actions.messages, [](auto const& message) {
            return message.to == b && std::holds_alternative<AppendRequest>(message.body);
        }));
    }
    BOOST_TEST(sent == 3U);
    // Each acknowledgment allows one more append, with as many entries as fit.
    auto const more = driver.acknowledge(b, { 3 });
    BOOST_REQUIRE(bodies<AppendRequest>(more).size() == 1U);
    BOOST_TEST(bodies<AppendRequest>(more).at(0).entries.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ProposalsOverTheUncommittedLimitAreRejected)
{
    Settings settings;
    settings.maxUncommittedBytes = 1000;
    Driver driver({}, 1, settings);
    driver.lead();
    BOOST_TEST(driver.step(propose(1, std::string(600, 'x'))).proposals.empty());
    BOOST_TEST(hasOutcome<Overloaded>(driver.step(propose(2, std::string(600, 'x'))), 2));
    driver.durable();
    driver.acknowledge(b, driver.node().lastIndex());
    BOOST_TEST(driver.step(propose(3, std::string(600, 'x'))).proposals.empty());
}

BOOST_AUTO_TEST_CASE(LostAppendIsSentAgainAfterAHeartbeat)
{
    Driver driver;
    driver.lead();
    driver.step(propose(1));
    driver.durable();
    driver.wait(100ms);
    auto const round = bodies<Heartbeat>(driver.step(Tick {})).at(0).round;
    auto const last = driver.node().lastIndex();
    auto const again = driver.receive(b, 2, HeartbeatResponse { round, { 2 }, { 2 } });
    BOOST_REQUIRE(bodies<AppendRequest>(again).size() == 1U);
    BOOST_TEST((bodies<AppendRequest>(again).at(0).entries.back().index == last));
    // Nothing is sent again to a follower that has received the entries but not yet written them to its slow disk.
    driver.acknowledge(b, last, round.value);
    driver.step(propose(2));
    driver.wait(100ms);
    auto const next = bodies<Heartbeat>(driver.step(Tick {})).at(0).round;
    auto const whileDiskIsSlow = driver.receive(b, 2, HeartbeatResponse { next, last, last.next() });
    BOOST_TEST(bodies<AppendRequest>(whileDiskIsSlow).empty());
}

BOOST_AUTO_TEST_CASE(ProposalIsSupersededOnlyByACommittedEntry)
{
    Driver driver;
    driver.lead();
    driver.step(propose(1));
    driver.durable();
    // A new leader replaces the entry. A later leader could still restore it, so the outcome is not known yet.
    auto const replaced = driver.receive(c, 3, AppendRequest { { 1 }, { 2 }, { 2 }, { 2 }, true, { command(3, 3) } });
    BOOST_TEST(replaced.proposals.empty());
    auto const committed = driver.receive(c, 3, AppendRequest { { 2 }, { 3 }, { 3 }, { 3 }, true, {} });
    BOOST_TEST(hasOutcome<Superseded>(committed, 1));
}

BOOST_AUTO_TEST_CASE(ProposalOfAFormerLeaderIsAnsweredWhenCommittedByAnother)
{
    Driver driver;
    driver.lead();
    driver.step(propose(1));
    driver.durable();
    driver.receive(c, 3, AppendRequest { { 1 }, { 3 }, { 2 }, { 2 }, true, { command(4, 3) } });
    auto const committed = driver.receive(c, 3, AppendRequest { { 2 }, { 4 }, { 3 }, { 4 }, true, {} });
    BOOST_TEST(hasOutcome<Committed>(committed, 1));
}

BOOST_AUTO_TEST_CASE(SnapshotFromTheLeaderLeavesProposalsUnresolved)
{
    Driver driver;
    driver.lead();
    driver.step(propose(1));
    driver.durable();
    std::string const data = "state";
    SnapshotMetadata const metadata { .index = { 50 },
        .term = { 3 },
        .configuration = driver.node().status().configuration,
        .configurationIndex = { 1 },
        .size = data.size(),
        .checksum = Core::hash64(data) };
    auto const first = driver.receive(c, 3, SnapshotChunk { { 1 }, metadata, true, 0, "sta" });
    BOOST_TEST(!first.restore.has_value());
    // A duplicate chunk is not appended twice.
    driver.receive(c, 3, SnapshotChunk { { 1 }, metadata, true, 0, "sta" });
    auto const last = driver.receive(c, 3, SnapshotChunk { { 1 }, metadata, true, 3, "te" });
    BOOST_REQUIRE(last.restore.has_value());
    BOOST_TEST(*last.restore->data == data);
    BOOST_TEST(last.persist.back().discardsLog);
    BOOST_TEST(hasOutcome<Unresolved>(last, 1));
    BOOST_TEST(driver.node().commitIndex().value == 50U);
    auto const acknowledged = bodies<AppendResponse>(driver.durable());
    BOOST_TEST(acknowledged.back().matchIndex.value == 50U);
}

BOOST_AUTO_TEST_CASE(CorruptSnapshotRestartsTheTransfer)
{
    Driver driver;
    SnapshotMetadata const metadata { .index = { 50 }, .term = { 1 }, .size = 4, .checksum = 1 };
    auto const actions = driver.receive(c, 1, SnapshotChunk { { 1 }, metadata, true, 0, "data" });
    BOOST_TEST(!actions.restore.has_value());
    BOOST_TEST(bodies<SnapshotResponse>(actions).at(0).nextOffset == 0U);
}

BOOST_AUTO_TEST_CASE(ConflictWithACommittedEntryHaltsTheNode)
{
    Driver driver({ command(2, 1) });
    driver.receive(b, 1, AppendRequest { { 1 }, { 2 }, { 1 }, { 2 }, true, {} });
    BOOST_TEST(driver.node().commitIndex().value == 2U);
    auto const actions = driver.receive(c, 2, AppendRequest { { 1 }, { 1 }, { 1 }, {}, true, { command(2, 2) } });
    BOOST_TEST((driver.node().role() == Role::Halted));
    BOOST_TEST(actions.messages.empty());
    BOOST_TEST((actions.wakeAt == Core::TimePoint::max()));
}

BOOST_AUTO_TEST_CASE(LeaderWithAFailedStoreStepsDownAtOnce)
{
    Driver driver;
    driver.lead();
    driver.step(propose(1));
    auto const failed = driver.step(StorageFailed {});
    BOOST_TEST(hasOutcome<Unresolved>(failed, 1));
    BOOST_TEST((driver.node().role() == Role::Follower));
    BOOST_TEST(!driver.node().authorityUntil().has_value());
    BOOST_TEST(bodies<TimeoutNow>(failed).size() == 1U);
    BOOST_TEST(hasOutcome<NotLeader>(driver.step(propose(2)), 2));
}

BOOST_AUTO_TEST_CASE(NodeWithAFailedStoreNeitherVotesNorCampaigns)
{
    Driver driver;
    driver.lead();
    auto const term = driver.node().term();
    driver.step(StorageFailed {});
    driver.wait(450ms);
    auto const preVote = driver.receive(b, term.value, VoteRequest { term.next(), { 99 }, { 99 }, true, false });
    BOOST_REQUIRE(bodies<VoteResponse>(preVote).size() == 1U);
    BOOST_TEST(!bodies<VoteResponse>(preVote).front().isGranted);
    BOOST_TEST(bodies<VoteRequest>(driver.step(Tick {})).empty());
    // A vote, a term or an entry that cannot be made durable is not answered.
    BOOST_TEST(driver.receive(b, 9, VoteRequest { { 9 }, { 99 }, { 9 }, false, true }).messages.empty());
    BOOST_TEST(driver.receive(b, 9, Heartbeat { { 1 }, {} }).messages.empty());
    BOOST_TEST(driver.receive(b, 9, TimeoutNow {}).messages.empty());
    // It follows the leader of the new term in memory.
    BOOST_TEST((driver.node().status().leader == b));
    BOOST_TEST((driver.node().term().value == 9U));
}

BOOST_AUTO_TEST_CASE(NodeWithAFailedStoreReturnsOnceItsWholeStateIsDurable)
{
    Driver driver;
    driver.lead();
    driver.step(propose(1));
    driver.step(StorageFailed {});
    // Writes that the store ignores are not sent.
    BOOST_TEST(driver.receive(b, 9, Heartbeat { { 1 }, {} }).persist.empty());
    driver.wait(501ms);
    auto const retried = driver.step(Tick {});
    BOOST_REQUIRE(retried.persist.size() == 1U);
    auto const& request = retried.persist.front();
    BOOST_TEST(request.replacesAll);
    BOOST_TEST((request.hardState->term.value == 9U));
    BOOST_TEST(request.entries.size() == driver.node().lastIndex().value);
    // The attempt fails, so there is another one.
    driver.step(StorageFailed {});
    BOOST_TEST(!driver.node().isStorageSound());
    driver.wait(501ms);
    BOOST_REQUIRE(driver.step(Tick {}).persist.size() == 1U);
    driver.receive(b, 9, Heartbeat { { 2 }, {} });
    BOOST_TEST(!driver.node().isStorageSound());
    auto const returned = driver.durable();
    BOOST_TEST(driver.node().isStorageSound());
    BOOST_TEST(bodies<HeartbeatResponse>(returned).size() == 1U);
    BOOST_TEST((driver.node().status().durableIndex == driver.node().lastIndex()));
}

BOOST_AUTO_TEST_CASE(MisaddressedAndMalformedMessagesAreRefused)
{
    Driver driver;
    auto const refusal = [&](Message message) {
        auto const actions = driver.step(MessageReceived { std::move(message) });
        BOOST_TEST(actions.messages.empty());
        BOOST_REQUIRE(actions.refused.size() == 1U);
        return actions.refused[0].reason;
    };
    BOOST_TEST((refusal({ { "other" }, b, a, { 9 }, Heartbeat {} }) == MessageRefusal::WrongCluster));
    BOOST_TEST((refusal({ cluster, b, c, { 9 }, Heartbeat {} }) == MessageRefusal::WrongReceiver));
    BOOST_TEST((refusal({ cluster, a, a, { 9 }, Heartbeat {} }) == MessageRefusal::Malformed));
    BOOST_TEST(
        (refusal({ cluster, b, a, { 9 }, VoteRequest { { 8 }, {}, {}, false, true } }) == MessageRefusal::Malformed));
    BOOST_TEST(driver.node().term().value == 1U);
    AppendRequest const gap { { 1 }, { 1 }, { 1 }, {}, true, { command(3, 1) } };
    BOOST_TEST((refusal({ cluster, b, a, { 1 }, gap }) == MessageRefusal::Malformed));
    AppendRequest const higherTerm { { 1 }, { 1 }, { 1 }, {}, true, { command(2, 5) } };
    BOOST_TEST((refusal({ cluster, b, a, { 1 }, higherTerm }) == MessageRefusal::Malformed));
}

BOOST_AUTO_TEST_CASE(LeaderIgnoresHostsThatAreNotMembers)
{
    Driver driver;
    driver.lead();
    driver.receive({ "removed" }, 99, HeartbeatResponse {});
    driver.receive({ "removed" }, 99, VoteResponse { { 99 }, false, true });
    BOOST_TEST((driver.node().role() == Role::Leader));
    // A member with a higher term no longer follows this leader, so a new election is necessary.
    driver.receive(c, 99, HeartbeatResponse {});
    BOOST_TEST((driver.node().role() == Role::Follower));
}

BOOST_AUTO_TEST_CASE(HostWithoutDataDoesNotVote)
{
    Settings settings;
    settings.clusterId = cluster;
    settings.host = a;
    Node node(settings, {}, 1, Core::TimePoint {});
    auto const late = Core::TimePoint {} + 10s;
    for (auto const isPreVote : { true, false }) {
        VoteRequest const request { { 7 }, { 9 }, { 6 }, isPreVote, true };
        auto actions = node.step(late, MessageReceived { { cluster, b, a, { 7 }, request } });
        auto const later = node.step(late, Persisted { { 1 } });
        std::ranges::copy(later.messages, std::back_inserter(actions.messages));
        BOOST_TEST(!bodies<VoteResponse>(actions).at(0).isGranted);
    }
    auto const heartbeat = node.step(late, MessageReceived { { cluster, b, a, { 7 }, Heartbeat { { 3 }, {}, true } } });
    BOOST_TEST(bodies<HeartbeatResponse>(heartbeat).empty());
    auto const answer = bodies<AppendResponse>(heartbeat).at(0);
    BOOST_TEST((answer.outcome == AppendOutcome::DataLost));
    BOOST_TEST(answer.round.value == 0U);
}

BOOST_AUTO_TEST_CASE(SameEventsGiveTheSameActions)
{
    auto const run = [] {
        Driver driver;
        std::string bytes;
        auto const record = [&](Actions const& actions) {
            for (auto const& message : actions.messages)
                bytes += encodeMessage(message);
            bytes += std::to_string(actions.wakeAt.time_since_epoch().count());
        };
        record(driver.win());
        record(driver.durable());
        for (std::uint64_t token = 0; token < 20; ++token) {
            driver.wait(60ms);
            record(driver.step(propose(token)));
            record(driver.acknowledge(b, driver.node().lastIndex()));
        }
        record(driver.timeOut());
        return bytes;
    };
    BOOST_TEST(run() == run());
}

BOOST_AUTO_TEST_SUITE_END()
