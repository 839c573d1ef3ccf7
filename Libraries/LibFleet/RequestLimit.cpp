#include <LibFleet/RequestLimit.h>

#include <algorithm>

namespace Fleet {

namespace {

    bool isLower(std::optional<double> limit, std::optional<double> other)
    {
        return limit && (!other || *limit < *other);
    }

} // namespace

bool RequestLimit::update(LimitStatement const& statement)
{
    if (statement.latest <= newest_.earliest)
        return false;
    auto const isNewer = statement.earliest >= newest_.latest;
    if (statement.perSecond == newest_.perSecond) {
        newest_.earliest = std::max(newest_.earliest, statement.earliest);
        newest_.latest = std::max(newest_.latest, statement.latest);
        return false;
    }
    if (!isNewer && !isLower(statement.perSecond, newest_.perSecond))
        return false;
    newest_ = statement;
    return true;
}

} // namespace Fleet
