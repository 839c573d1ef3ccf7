#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Daemon settings and the pools and routes document, both in INI.
namespace Config {

/// The file cannot be opened or read.
struct UnreadableFile {
    int errorNumber { 0 };
};
/// A line that is neither empty, a comment, a section header nor `key = value`.
struct MalformedLine { };
struct OverlongLine {
    std::size_t bytes { 0 };
    std::size_t maxBytes { 0 };
};
struct UnknownSection { };
struct DuplicateSection {
    std::uint32_t firstLine { 0 };
};
struct UnknownKey { };
struct DuplicateKey {
    std::uint32_t firstLine { 0 };
};
struct MissingKey { };
/// A number without a unit, or with a unit that the key does not take.
struct BadUnit {
    std::string value;
    /// For example `ns, us, ms, s, min, h`.
    std::string accepted;
};
struct BadValue {
    std::string value;
    /// What the key takes, for example `IP:port`.
    std::string expected;
};
struct OutOfRange {
    std::string value;
    std::string minimum;
    std::string maximum;
};

/// A rule between several keys.
enum class CrossCheck : std::uint8_t {
    ViewLeaseOutlastsElection,
    ElectionTimeoutsInOrder,
    ElectionOutlastsRaftHeartbeat,
    HeartbeatsPerViewLease,
    AnnouncementsPerGrant,
    GuardTimeWithinViewLease,
    OddNumberOfVoters,
    EnoughVoters,
    OwnNameAmongControlPeers,
    DistinctListeners,
    DistinctControlPeers,
    EntryNeedsCallerListener,
    EntryNeedsAdminListener,
    ControlNeedsOperatorListener,
    ConnectionsWithinThreads,
    LimitsInOrder,
};
struct Inconsistent {
    CrossCheck rule;
};
/// The pools and routes are well formed but do not make a valid table.
struct InvalidTable {
    /// From `Routing::describe`.
    std::string reason;
};

using ConfigErrorReason = std::variant<UnreadableFile, MalformedLine, OverlongLine, UnknownSection, DuplicateSection,
    UnknownKey, DuplicateKey, MissingKey, BadUnit, BadValue, OutOfRange, Inconsistent, InvalidTable>;

struct ConfigError {
    std::string file;
    /// Counted from 1. Zero when no line is at fault, for example for a missing key.
    std::uint32_t line { 0 };
    std::string section;
    std::string key;
    ConfigErrorReason reason;
};

/// All errors of a file, in the order of their lines.
using ConfigErrors = std::vector<ConfigError>;

/// One line: `FILE:LINE: [SECTION] KEY: REASON`.
std::string describe(ConfigError const&);

} // namespace Config
