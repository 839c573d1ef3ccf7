#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Result.h>
#include <LibCore/Time.h>

#include <string>
#include <vector>

namespace Proxy {

inline constexpr std::string_view announcePath = "/primroseshift/v1/announce";
/// An announcement names at most every slot of a pool; longer bodies are rejected.
inline constexpr std::size_t maxAnnouncementBytes = 4UL * 1024 * 1024;

struct ReleasedSlot {
    Core::SlotNumber slot;
    /// The epoch under which the server held the slot.
    Core::Epoch epoch;

    bool operator==(ReleasedSlot const&) const = default;
};

/// Load as the backend server reports it. May lag or mislead.
struct LoadReport {
    std::uint32_t inFlight { 0 };
    std::uint32_t queued { 0 };
    /// Share of the capacity in use, 0 to 1.
    double utilization { 0 };

    bool operator==(LoadReport const&) const = default;
};

/// What a backend server tells about itself every 300 ms.
struct Announcement {
    Core::ServerName name;
    Core::PoolName pool;
    Core::Endpoint endpoint;
    Core::FailureDomain failureDomain;
    Core::Incarnation incarnation;
    std::uint32_t slots { 1 };
    std::uint32_t connections { 1 };
    bool checksFencing { false };
    bool isDraining { false };
    LoadReport load;
    std::vector<ReleasedSlot> releasedSlots;

    bool operator==(Announcement const&) const = default;
};

/// Slots `first` to `last` (both included) at one epoch.
struct SlotGrant {
    Core::SlotNumber first;
    Core::SlotNumber last;
    Core::Epoch epoch;

    bool operator==(SlotGrant const&) const = default;
};

/// The complete set of grants of the server; it replaces the earlier set.
struct AnnounceReply {
    std::vector<SlotGrant> grants;
    /// Counted by the server from the moment it sent the announcement.
    Core::Duration timeToLive { std::chrono::milliseconds(1500) };
    /// Slots that the server must finish and report as released.
    std::vector<Core::SlotNumber> slotsToRelease;

    bool operator==(AnnounceReply const&) const = default;
};

enum class AnnouncementErrorKind : std::uint8_t { NotJson, MissingField, WrongType, OutOfRange, TooLarge };

struct AnnouncementError {
    AnnouncementErrorKind kind { AnnouncementErrorKind::NotJson };
    /// Name of the field, empty for a document that is not JSON.
    std::string field;
};

Core::Result<Announcement, AnnouncementError> parseAnnouncement(std::string_view json);
Core::Result<AnnounceReply, AnnouncementError> parseAnnounceReply(std::string_view json);
std::string toJson(Announcement const&);
std::string toJson(AnnounceReply const&);
std::string describe(AnnouncementError const&);

enum class AnnounceRefusal : std::uint8_t {
    /// The leader cannot be reached. The server keeps its grants until they expire and announces again.
    NotReady,
    UnknownPool,
    /// Another incarnation with the same name is announcing.
    NameInUse,
};

/// Handles announcements of backend servers. Implemented by the daemon; called from traffic threads, may block.
class AnnounceHandler {
public:
    virtual ~AnnounceHandler() = default;

    virtual Core::Result<AnnounceReply, AnnounceRefusal> announce(Announcement const&) = 0;
};

} // namespace Proxy
