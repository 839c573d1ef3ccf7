#include <LibConsensus/Types.h>

namespace Consensus {

namespace {

    /// Approximate size of the term, the index and the encoding overhead of an entry.
    constexpr std::size_t entryHeaderBytes = 48;
    constexpr std::size_t memberBytes = 64;

} // namespace

std::size_t flowControlBytes(LogEntry const& entry)
{
    if (auto const* command = std::get_if<Command>(&entry.content))
        return entryHeaderBytes + command->payload.size();
    if (auto const* configuration = std::get_if<Configuration>(&entry.content))
        return entryHeaderBytes + memberBytes * (configuration->voters.size() + configuration->learners.size());
    return entryHeaderBytes;
}

RecoveredState bootstrapState(Configuration const& configuration)
{
    constexpr Term firstTerm { 1 };
    return { .hardState = { firstTerm, std::nullopt },
        .snapshot = std::nullopt,
        .entries = { LogEntry { firstTerm, LogIndex { 1 }, configuration } } };
}

} // namespace Consensus
