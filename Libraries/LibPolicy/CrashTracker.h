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

    /// Whether this crash put the fingerprint into quarantine. Two crashes of one server count once.
    bool recordCrash(Core::TimePoint now, Core::Digest const&, Core::ServerName const&);
    /// A suspect that ran alone and was answered is cleared of its suspicions. A quarantine stays.
    void clearSuspicion(Core::Digest const&);
    void quarantine(Core::Digest const&, Core::TimePoint until);
    /// Whether there was anything to lift. Forgets the crashes as well.
    bool lift(Core::Digest const&);

    bool isQuarantined(Core::TimePoint now, Core::Digest const&) const;
    /// At least one crash on record that has not expired.
    bool isSuspect(Core::TimePoint now, Core::Digest const&) const;
    bool isEmpty() const { return entries_.empty(); }
    /// Drops what has expired.
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

    void makeRoom();

    QuarantineSettings settings_;
    std::map<Core::Digest, Entry> entries_;
};

} // namespace Policy
