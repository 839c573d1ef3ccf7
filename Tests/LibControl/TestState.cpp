#include "Fixtures.h"

using namespace Control;
using namespace Fixtures;
using Reason = SlotRejectionReason;

namespace {

/// View version that counts as applied by all entry hosts, whatever the current version is.
constexpr std::uint64_t appliedEverywhere = 1'000'000;

/// Pool `letter` with servers s1 (checks fencing tokens), s2 (does not) and s3 (does); slot 0 is owned by s1, slot 1 by
/// s2, both at epoch 1.
struct OwnershipFixture : Replica {
    OwnershipFixture()
    {
        expect<EditAccepted>(edit("e1", 0, tables()));
        expect<Accepted>(RegisterServer { server("s1", "letter", "a") });
        expect<Accepted>(RegisterServer { server("s2", "letter", "b", false) });
        expect<Accepted>(RegisterServer { server("s3", "letter", "b") });
        expect<Accepted>(JoinEntryHost { entryHost("h1") });
        expect<SlotsChanged>(assign(0, 0, "s1", ReleaseBasis::None, appliedEverywhere));
        expect<SlotsChanged>(assign(1, 0, "s2", ReleaseBasis::None, appliedEverywhere));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Ownership, OwnershipFixture)

// Guards against two owners: an owned slot must not get another owner without a release.
BOOST_AUTO_TEST_CASE(AnOwnedSlotIsNotAssigned)
{
    BOOST_TEST((rejection(assign(0, 1, "s3", ReleaseBasis::GrantExpired, appliedEverywhere)) == Reason::NotReleasing));
    BOOST_TEST(slot(0).owner.value == "s1");
}

// Guards against two owners: after a release has begun, the owner may still serve the slot.
BOOST_AUTO_TEST_CASE(AReleasingSlotIsAssignedOnlyAfterTheOwnerStopped)
{
    BOOST_TEST(!rejection(release(0, 1, "s1", "s3")));
    BOOST_TEST((rejection(assign(0, 1, "s3", ReleaseBasis::None, appliedEverywhere)) == Reason::ReleaseNotConfirmed));
    BOOST_TEST(!rejection(assign(0, 1, "s3", ReleaseBasis::Confirmed, 0)));
    BOOST_TEST(slot(0).owner.value == "s3");
    BOOST_TEST(slot(0).epoch.value == 2U);
}

// Guards against two owners: the last owner of an unassigned slot was not asked to release it, so only the expiry of
// its grant shows that it stopped.
BOOST_AUTO_TEST_CASE(ASlotOfALostServerNeedsAnExpiredGrant)
{
    expect<Accepted>(ServerLost { { "s1" }, { 1 } });
    BOOST_TEST((slot(0).phase == Routing::SlotPhase::Unassigned));
    BOOST_TEST((rejection(assign(0, 1, "s3", ReleaseBasis::None, appliedEverywhere)) == Reason::ReleaseNotConfirmed));
    BOOST_TEST(
        (rejection(assign(0, 1, "s3", ReleaseBasis::Confirmed, appliedEverywhere)) == Reason::ReleaseNotConfirmed));
    BOOST_TEST(!rejection(assign(0, 1, "s3", ReleaseBasis::GrantExpired, 0)));
}

// Guards against a request sent to a former owner that does not check fencing tokens.
BOOST_AUTO_TEST_CASE(ASlotOfAServerWithoutFencingNeedsAcknowledgmentByEntryHosts)
{
    expect<Accepted>(ServerLost { { "s2" }, { 1 } });
    auto const lostAt = slot(1).changedAt.value;
    BOOST_TEST(
        (rejection(assign(1, 1, "s3", ReleaseBasis::GrantExpired, lostAt - 1)) == Reason::EntryHostsNotAcknowledged));
    BOOST_TEST(!rejection(assign(1, 1, "s3", ReleaseBasis::GrantExpired, lostAt)));
}

// Guards against a delayed command that refers to an earlier ownership of a slot.
BOOST_AUTO_TEST_CASE(StaleEpochsOwnersAndIncarnationsAreRejected)
{
    BOOST_TEST((rejection(release(0, 0, "s1", "s3")) == Reason::StaleEpoch));
    BOOST_TEST((rejection(release(0, 1, "s2", "s3")) == Reason::NotOwner));
    BOOST_TEST((rejection(release(0, 1, "s1", "missing")) == Reason::TargetNotInService));
    BOOST_TEST((rejection(assign(0, 0, "s3", ReleaseBasis::GrantExpired, appliedEverywhere)) == Reason::StaleEpoch));
    BOOST_TEST((rejection(assign(99, 0, "s3", ReleaseBasis::None, appliedEverywhere)) == Reason::UnknownSlot));
    BOOST_TEST((expect<Rejected>(ServerLost { { "s1" }, { 7 } }).reason == RejectionReason::StaleIncarnation));
    BOOST_TEST(
        (expect<Rejected>(RemoveEntryHost { { "h1" }, { 1 }, { 0 } }).reason == RejectionReason::StaleIncarnation));
}

// Guards against a restarted server that serves slots whose data it lost.
BOOST_AUTO_TEST_CASE(ANewIncarnationOwnsNothingAndIsCold)
{
    auto restarted = server("s1");
    restarted.incarnation = { 2 };
    expect<Accepted>(RegisterServer { restarted });
    BOOST_TEST((slot(0).phase == Routing::SlotPhase::Unassigned));
    BOOST_TEST(slot(0).ownerIncarnation.value == 1U);
    BOOST_TEST(state.findServer({ "s1" })->server.coldSince.value == index);
}

// Guards against a cold server that gets full load at once, and against a slow start that restarts with each report.
BOOST_AUTO_TEST_CASE(ARepeatedColdReportMarksTheServerOnce)
{
    expect<Accepted>(RegisterServer { server("s1"), true });
    auto const coldSince = state.findServer({ "s1" })->server.coldSince.value;
    BOOST_TEST(coldSince == index);
    expect<Accepted>(RegisterServer { server("s1"), true });
    expect<Accepted>(RegisterServer { server("s1"), false });
    BOOST_TEST(state.findServer({ "s1" })->server.coldSince.value == coldSince);
    BOOST_TEST((slot(0).phase == Routing::SlotPhase::Owned));
}

// Guards against new slots for a draining server or domain, and against slots that are not served before the handover.
BOOST_AUTO_TEST_CASE(ADrainedServerKeepsServingUntilItsSlotsAreReleased)
{
    expect<Accepted>(DrainDomain { { "a" }, false, {} });
    BOOST_TEST((rejection(assign(2, 0, "s1", ReleaseBasis::None, appliedEverywhere)) == Reason::TargetNotInService));
    BOOST_TEST((state.buildView().findServer({ "s1" })->state == Routing::ServerState::InService));
    BOOST_TEST(!rejection(release(0, 1, "s1", "s3")));
    BOOST_TEST((state.buildView().findServer({ "s1" })->state == Routing::ServerState::Draining));
    BOOST_TEST(!rejection(assign(0, 1, "s3", ReleaseBasis::Confirmed, 0)));
    BOOST_TEST((state.buildView().findServer({ "s1" })->state == Routing::ServerState::OutOfService));
    expect<Accepted>(ReturnDomain { { "a" } });
    BOOST_TEST((state.buildView().findServer({ "s1" })->state == Routing::ServerState::InService));
    BOOST_TEST(state.findServer({ "s1" })->server.coldSince.value == index);
    BOOST_TEST((expect<Rejected>(ReturnDomain { { "a" } }).reason == RejectionReason::NotDrained));
}

// Guards against a drain that leaves too little capacity for the load, also when two drains are submitted at once.
BOOST_AUTO_TEST_CASE(ADrainBeyondTheRemainingCapacityIsRefused)
{
    std::vector<PoolDemand> const demand { { { "letter" }, 7.5 } };
    auto const refused = expect<DrainRefused>(DrainDomain { { "a" }, false, demand });
    BOOST_TEST(refused.remainingCapacity == 8.0);
    expect<Accepted>(DrainServer { { "s1" }, DrainCause::Operator, false, { { { "letter" }, 7.0 } } });
    expect<DrainRefused>(DrainServer { { "s2" }, DrainCause::Operator, false, { { { "letter" }, 7.0 } } });
    expect<Accepted>(DrainServer { { "s2" }, DrainCause::Operator, true, demand });
    expect<DrainRefused>(DrainServer { { "s3" }, DrainCause::Operator, false, {} });
    expect<Accepted>(DrainServer { { "s3" }, DrainCause::Announced });
}

// Guards against a view version that does not change with the view, or changes without it.
BOOST_AUTO_TEST_CASE(TheViewVersionRisesExactlyWithChangesOfTheView)
{
    auto const before = state.viewVersion();
    expect<Accepted>(RegisterServer { server("s1") });
    expect<Accepted>(JoinEntryHost { entryHost("h1") });
    rejection(assign(0, 1, "s3", ReleaseBasis::GrantExpired, appliedEverywhere));
    BOOST_TEST((state.viewVersion() == before));
    rejection(release(0, 1, "s1", "s3"));
    BOOST_TEST(state.viewVersion().value == index);
    BOOST_TEST((expect<Rejected>(RegisterServer { server("x", "none") }).reason == RejectionReason::UnknownPool));
    BOOST_TEST(state.viewVersion().value == index - 1);
    BOOST_TEST((std::get<Rejected>(state.apply(index, ReturnDomain { { "a" } })).reason
        == RejectionReason::IndexAlreadyApplied));
}

BOOST_AUTO_TEST_CASE(QuarantineIsBoundedLiftedAndExpires)
{
    expect<Accepted>(AddQuarantine { { { 1, 1 }, { "letters" } } });
    expect<Accepted>(AddQuarantine { { { 2, 2 }, { "letters" } } });
    expect<Accepted>(LiftQuarantine { { 1, 1 } });
    BOOST_TEST((expect<Rejected>(LiftQuarantine { { 1, 1 } }).reason == RejectionReason::UnknownFingerprint));
    BOOST_TEST(state.buildView().quarantine.size() == 1U);
    for (Core::Duration passed {}; passed < quarantineRetention; passed += maxClockStep)
        expect<Accepted>(ExpireRecords { maxClockStep });
    BOOST_TEST(state.buildView().quarantine.empty());
    for (std::uint64_t i = 0; i < maxQuarantinedRequests; ++i)
        expect<Accepted>(AddQuarantine { { { i, 9 }, { "letters" } } });
    BOOST_TEST((expect<Rejected>(AddQuarantine { { { 0, 10 }, {} } }).reason == RejectionReason::QuarantineFull));
    BOOST_TEST((expect<Rejected>(ExpireRecords { maxClockStep + 1ns }).reason == RejectionReason::ClockStepOutOfRange));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Edits, OwnershipFixture)

// Guards against an edit that is applied twice because its author lost the response.
BOOST_AUTO_TEST_CASE(TheSameEditIdReturnsTheFirstOutcome)
{
    auto const again = expect<EditAccepted>(edit("e1", 0, tables()));
    BOOST_TEST(again.revision.value == 1U);
    BOOST_TEST(state.revision().value == 1U);
    auto const removal = edit("e2", 0, std::vector<EditOperation> { RemoveRoute { { "letters" } } });
    BOOST_TEST(expect<EditConflict>(removal).currentRevision.value == 1U);
    expect<EditAccepted>(edit("e3", 1, std::vector<EditOperation> { RemoveRoute { { "letters" } } }));
    BOOST_TEST(expect<EditConflict>(removal).currentRevision.value == 1U);
}

// Guards against one author getting the outcome of another author's edit.
BOOST_AUTO_TEST_CASE(AnEditIdWithOtherContentIsRejected) { expect<EditIdReused>(edit("e1", 0, tables(8))); }

// Guards against a lost update by two edits on the same revision.
BOOST_AUTO_TEST_CASE(OfTwoEditsOnOneRevisionOneSucceeds)
{
    expect<EditAccepted>(edit("a", 1, std::vector<EditOperation> { PutPool { { .name = { "scan" } } } }));
    auto const conflict
        = expect<EditConflict>(edit("b", 1, std::vector<EditOperation> { PutPool { { .name = { "scan" } } } }));
    BOOST_TEST(conflict.currentRevision.value == 2U);
}

// Guards against an edit that is applied in part, and against an outcome that reports only the first problem.
BOOST_AUTO_TEST_CASE(AnInvalidEditIsRejectedWholeWithAllReasons)
{
    Routing::RouteDefinition lost { .name = { "lost" }, .pool = { "missing" }, .pathPrefix = "/lost" };
    auto const invalid = expect<EditInvalid>(edit("a", 1,
        std::vector<EditOperation> { PutPool { { .name = { "scan" } } }, PutPool { { .name = { "none" } }, true },
            RemoveRoute { { "none" } }, PutRoute { lost } }));
    std::vector<EditProblem> const expected { { EditProblemKind::PoolMissing, "none", {} },
        { EditProblemKind::RouteMissing, "none", {} }, { EditProblemKind::RouteToMissingPool, "lost", "missing" } };
    BOOST_TEST((invalid.problems == expected));
    BOOST_TEST(state.table()->findPool({ "scan" }) == nullptr);
    BOOST_TEST(state.revision().value == 1U);
}

// Guards against servers that own slots of a pool that was removed or has another slot count.
BOOST_AUTO_TEST_CASE(APoolInUseIsNeitherRemovedNorReshaped)
{
    auto const removal = std::vector<EditOperation> { RemoveRoute { { "letters" } }, RemovePool { { "letter" } } };
    auto invalid = expect<EditInvalid>(edit("a", 1, removal));
    BOOST_TEST((invalid.problems.front().kind == EditProblemKind::PoolInUse));
    invalid = expect<EditInvalid>(edit("b", 1, tables(8)));
    BOOST_TEST((invalid.problems.front().kind == EditProblemKind::PoolShapeInUse));
    for (auto const* name : { "s1", "s2", "s3" })
        expect<Accepted>(ServerLost { { name }, { 1 } });
    expect<EditAccepted>(edit("c", 1, removal));
    BOOST_TEST(state.servers().empty());
    // When the pool is created again, its epochs must not repeat those that servers have seen.
    expect<EditAccepted>(edit("d", 2, tables()));
    BOOST_TEST(slot(0).epoch.value >= 1U);
}

BOOST_AUTO_TEST_CASE(TheHistoryNamesAuthorsAndIsBounded)
{
    Replica small({}, { .maxHistory = 2, .maxIds = 3 });
    for (std::uint64_t i = 0; i < 5; ++i)
        small.expect<EditAccepted>(edit("e" + std::to_string(i), i, tables()));
    BOOST_TEST(small.state.edits().history().size() == 2U);
    BOOST_TEST(small.state.edits().history().back().author == "operator");
    BOOST_TEST(small.state.edits().history().back().wallClockMilliseconds == 1'700'000'000'000);
    BOOST_TEST(small.state.edits().knownEdits().size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
