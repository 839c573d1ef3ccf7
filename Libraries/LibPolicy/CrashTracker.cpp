#include <LibPolicy/CrashTracker.h>

#include <algorithm>

namespace Policy {

CrashTracker::CrashTracker(QuarantineSettings const& settings)
    : settings_(settings)
{
}

bool CrashTracker::recordCrash(Core::TimePoint now, Core::Digest const& fingerprint, Core::ServerName const& server)
{
    if (!entries_.contains(fingerprint))
        evictIfFull();
    auto& entry = entries_[fingerprint];
    if (entry.suspectUntil <= now)
        entry.servers.clear();
    entry.suspectUntil = now + settings_.suspicionTime;
    if (std::ranges::find(entry.servers, server) == entry.servers.end())
        entry.servers.push_back(server);
    if (entry.quarantinedUntil > now || entry.servers.size() < settings_.serversToQuarantine)
        return false;
    entry.quarantinedUntil = now + settings_.quarantineTime;
    return true;
}

void CrashTracker::clearSuspicion(Core::Digest const& fingerprint)
{
    auto const found = entries_.find(fingerprint);
    if (found != entries_.end() && found->second.servers.size() < settings_.serversToQuarantine
        && found->second.quarantinedUntil == Core::TimePoint {})
        entries_.erase(found);
}

void CrashTracker::quarantine(Core::Digest const& fingerprint, Core::TimePoint until)
{
    if (!entries_.contains(fingerprint))
        evictIfFull();
    auto& entry = entries_[fingerprint];
    entry.quarantinedUntil = std::max(entry.quarantinedUntil, until);
}

bool CrashTracker::lift(Core::Digest const& fingerprint) { return entries_.erase(fingerprint) > 0; }

bool CrashTracker::isQuarantined(Core::TimePoint now, Core::Digest const& fingerprint) const
{
    auto const found = entries_.find(fingerprint);
    return found != entries_.end() && found->second.quarantinedUntil > now;
}

bool CrashTracker::isSuspect(Core::TimePoint now, Core::Digest const& fingerprint) const
{
    auto const found = entries_.find(fingerprint);
    return found != entries_.end() && !found->second.servers.empty() && found->second.suspectUntil > now;
}

void CrashTracker::expire(Core::TimePoint now)
{
    std::erase_if(entries_,
        [now](auto const& item) { return item.second.suspectUntil <= now && item.second.quarantinedUntil <= now; });
}

std::vector<CrashTracker::Quarantined> CrashTracker::quarantined(Core::TimePoint now) const
{
    std::vector<Quarantined> result;
    for (auto const& [fingerprint, entry] : entries_) {
        if (entry.quarantinedUntil > now)
            result.push_back({ fingerprint, entry.quarantinedUntil });
    }
    return result;
}

/// Evicts one entry when the table is full: the one that expires first, suspicions before quarantines.
void CrashTracker::evictIfFull()
{
    if (entries_.size() < settings_.maxFingerprints)
        return;
    auto const first = std::ranges::min_element(entries_, [](auto const& a, auto const& b) {
        return std::pair { a.second.quarantinedUntil, a.second.suspectUntil }
        < std::pair { b.second.quarantinedUntil, b.second.suspectUntil };
    });
    entries_.erase(first);
}

} // namespace Policy
