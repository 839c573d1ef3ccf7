#include <LibCore/Identifiers.h>
#include <LibGateway/RecentAnswers.h>

namespace Gateway {

namespace {

    constexpr std::size_t entryCount = 4096;
    /// A request may begin to crash servers, so older answers say nothing.
    constexpr Core::Duration retention = std::chrono::seconds(30);

} // namespace

std::string toText(Core::Digest const& fingerprint)
{
    return Core::RequestId { fingerprint.high, fingerprint.low }.toString();
}

RecentAnswers::RecentAnswers()
    : entries_(entryCount)
{
}

void RecentAnswers::record(Core::Digest const& fingerprint, Core::TimePoint now)
{
    entries_[fingerprint.low % entryCount] = { fingerprint, now };
}

bool RecentAnswers::contains(Core::Digest const& fingerprint, Core::TimePoint now) const
{
    auto const& entry = entries_[fingerprint.low % entryCount];
    return entry.fingerprint == fingerprint && entry.at != Core::TimePoint {} && now - entry.at <= retention;
}

} // namespace Gateway
