#include <LibTelemetry/LabelBound.h>
#include <LibTelemetry/Metrics.h>

namespace Telemetry {

LabelBound::LabelBound(std::size_t maxValues)
    : maxValues_(maxValues)
{
}

std::string LabelBound::admit(std::string_view value)
{
    std::scoped_lock const lock(mutex_);
    if (values_.contains(value))
        return std::string(value);
    if (values_.size() >= maxValues_)
        return std::string(otherLabel);
    return *values_.emplace(value).first;
}

void LabelBound::forget(std::string_view value)
{
    std::scoped_lock const lock(mutex_);
    auto const found = values_.find(value);
    if (found != values_.end())
        values_.erase(found);
}

} // namespace Telemetry
