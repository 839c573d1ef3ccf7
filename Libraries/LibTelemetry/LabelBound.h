#pragma once

#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace Telemetry {

/// Bounds the number of values of one metric label. Thread-safe.
class LabelBound {
public:
    explicit LabelBound(std::size_t maxValues);

    /// The value itself while there is room, otherwise `other`.
    std::string admit(std::string_view value);
    /// Makes room again.
    void forget(std::string_view value);

private:
    std::size_t maxValues_;
    std::mutex mutex_;
    std::set<std::string, std::less<>> values_;
};

} // namespace Telemetry
