#pragma once

#include <LibProxy/Announcement.h>

#include <map>
#include <mutex>
#include <set>

namespace Emulator {

/// The slots this server may serve, with their epochs, as the announcements' replies grant them.
class Grants {
public:
    /// `sentAt`: when the announcement was sent; the time to live counts from there.
    void apply(Proxy::AnnounceReply const&, Core::TimePoint sentAt);
    /// Registers a request for a slot. False when the slot is not granted at this epoch or is being released.
    bool begin(Core::SlotNumber, Core::Epoch, Core::TimePoint now);
    /// Ends a request that `begin` accepted or that runs although it was refused.
    void end(Core::SlotNumber);
    /// Registers a request without a check.
    void beginUnchecked(Core::SlotNumber);
    /// Slots to release that no request uses any more.
    std::vector<Proxy::ReleasedSlot> released() const;
    std::size_t count(Core::TimePoint now) const;

private:
    mutable std::mutex mutex_;
    Core::TimePoint expiresAt_;
    std::map<Core::SlotNumber, Core::Epoch> granted_;
    std::map<Core::SlotNumber, Core::Epoch> releasing_;
    std::map<Core::SlotNumber, std::uint32_t> running_;
};

} // namespace Emulator
