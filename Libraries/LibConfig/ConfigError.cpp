#include <LibConfig/ConfigError.h>

#include <cstdlib>
#include <system_error>

namespace Config {

namespace {

    std::string describeRule(CrossCheck rule)
    {
        switch (rule) {
        case CrossCheck::ViewLeaseOutlastsElection:
            return "view-lease must exceed election-timeout-max plus two heartbeat-intervals, so that entry hosts stay "
                   "ready while the leader changes";
        case CrossCheck::ElectionTimeoutsInOrder:
            return "election-timeout-min must be below election-timeout-max";
        case CrossCheck::ElectionOutlastsRaftHeartbeat:
            return "election-timeout-min must be at least three raft-heartbeats";
        case CrossCheck::HeartbeatsPerViewLease:
            return "view-lease must be at least three heartbeat-intervals";
        case CrossCheck::AnnouncementsPerGrant:
            return "grant-time-to-live must be at least three announce-intervals";
        case CrossCheck::GuardTimeWithinViewLease:
            return "guard-time must be at most a quarter of view-lease";
        case CrossCheck::OddNumberOfVoters:
            return "the number of control peers must be 1, 3, 5 or 7";
        case CrossCheck::EnoughVoters:
            return "at least one control peer is needed";
        case CrossCheck::OwnNameAmongControlPeers:
            return "a host with the control role must be one of the control peers, with its own failure domain";
        case CrossCheck::DistinctListeners:
            return "two listeners have the same address and port";
        case CrossCheck::DistinctControlPeers:
            return "two control peers have the same address and port";
        case CrossCheck::EntryNeedsCallerListener:
            return "the entry role needs a caller listener";
        case CrossCheck::EntryNeedsAdminListener:
            return "the entry role needs an admin listener";
        case CrossCheck::ControlNeedsOperatorListener:
            return "the control role needs an operator listener";
        case CrossCheck::ConnectionsWithinThreads:
            return "max-caller-connections must not exceed traffic-threads, since each connection holds a thread";
        case CrossCheck::LimitsInOrder:
            return "a minimum or share exceeds its maximum or total";
        }
        std::abort();
    }

    std::string describeReason(ConfigErrorReason const& reason)
    {
        return std::visit(
            Core::Overloaded {
                [](UnreadableFile const& e) {
                    return "cannot be read: " + std::generic_category().message(e.errorNumber);
                },
                [](MalformedLine const&) {
                    return std::string("is neither empty, a comment, a [section] nor key = value");
                },
                [](OverlongLine const& e) {
                    return "has " + std::to_string(e.bytes) + " bytes, allowed are " + std::to_string(e.maxBytes);
                },
                [](UnknownSection const&) { return std::string("unknown section"); },
                [](DuplicateSection const& e) {
                    return "section appears again, first in line " + std::to_string(e.firstLine);
                },
                [](UnknownKey const&) { return std::string("unknown key"); },
                [](DuplicateKey const& e) { return "key appears again, first in line " + std::to_string(e.firstLine); },
                [](MissingKey const&) { return std::string("required key is missing"); },
                [](BadUnit const& e) {
                    return "'" + e.value + "' is not a whole number with one of the units " + e.accepted;
                },
                [](BadValue const& e) { return "'" + e.value + "' is not " + e.expected; },
                [](OutOfRange const& e) {
                    return "'" + e.value + "' is out of range, allowed are " + e.minimum + " to " + e.maximum;
                },
                [](Inconsistent const& e) { return describeRule(e.rule); },
                [](InvalidTable const& e) { return e.reason; },
            },
            reason);
    }

} // namespace

std::string describe(ConfigError const& error)
{
    auto text = error.file;
    if (error.line != 0)
        text += ":" + std::to_string(error.line);
    text += ": ";
    if (!error.section.empty())
        text += "[" + error.section + "] ";
    if (!error.key.empty())
        text += error.key + ": ";
    return text + describeReason(error.reason);
}

} // namespace Config
