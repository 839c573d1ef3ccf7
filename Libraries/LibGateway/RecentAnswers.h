#pragma once

#include <LibCore/Hash.h>
#include <LibCore/Time.h>

#include <string>
#include <vector>

namespace Gateway {

/// The text by which control hosts and entry hosts name the fingerprint of a request.
std::string toText(Core::Digest const& fingerprint);

/// Remembers which requests servers have answered in the last seconds, in a table of fixed size. A request that is
/// answered often stays in it; others give way to those that fall on the same place.
class RecentAnswers {
public:
    RecentAnswers();

    void record(Core::Digest const& fingerprint, Core::TimePoint now);
    bool contains(Core::Digest const& fingerprint, Core::TimePoint now) const;

private:
    struct Entry {
        Core::Digest fingerprint;
        Core::TimePoint at;
    };

    std::vector<Entry> entries_;
};

} // namespace Gateway
