#pragma once

#include <LibCore/Hash.h>
#include <LibCore/Identifiers.h>
#include <LibPolicy/DispatchSettings.h>

#include <map>
#include <vector>

namespace Policy {

/// Counts the servers that each request fingerprint crashed, and quarantines a fingerprint that reached the threshold.
/// Used by each dispatch group for its own servers, and by the control hosts to merge the reports of all dispatchers.
class CrashTracker {
public:
    explicit CrashTracker(QuarantineSettings const&);

    /// Records that a request with this fingerprint crashed the server. Returns whether this crash put the fingerprint
    /// into quarantine. Two crashes of one server count once.
    bool recordCrash(Core::TimePoint now, Core::Digest const&, Core::ServerName const&);
    /// Clears the crashes on record of a suspect that ran alone and was answered. A quarantine stays.
    void clearSuspicion(Core::Digest const&);
    void quarantine(Core::Digest const&, Core::TimePoint until);
    /// Lifts the quarantine and erases the crashes on record. Returns whether there was an entry.
    bool lift(Core::Digest const&);

    bool isQuarantined(Core::TimePoint now, Core::Digest const&) const;
    /// Whether at least one crash of the fingerprint is on record that has not expired.
    bool isSuspect(Core::TimePoint now, Core::Digest const&) const;
    bool isEmpty() const { return entries_.empty(); }
    /// Erases the entries whose suspicion and quarantine have expired.
    void expire(Core::TimePoint now);

    struct Quarantined {
        Core::Digest fingerprint;
        Core::TimePoint until;
    };
    std::vector<Quarantined> quarantined(Core::TimePoint now) const;

private:
    struct Entry {
        std::vector<Core::ServerName> servers;
        Core::TimePoint suspectUntil;
        Core::TimePoint quarantinedUntil;
    };

    void evictIfFull();

    QuarantineSettings settings_;
    std::map<Core::Digest, Entry> entries_;
};

} // namespace Policy
