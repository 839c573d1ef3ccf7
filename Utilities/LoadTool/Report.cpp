#include "Report.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace LoadTool {

bool readExecutionLogs(std::span<std::string const> files, RunCounts& counts)
{
    for (auto const& file : files) {
        std::ifstream stream(file);
        if (!stream)
            return false;
        std::string loadId;
        std::string rest;
        while (stream >> loadId && std::getline(stream, rest))
            ++counts[loadId];
    }
    return true;
}

void Report::add(RequestResult result)
{
    auto& row = rows_[result.operation];
    ++row.sent;
    row.answered += result.ending == Ending::Answered ? 1 : 0;
    row.notRun += result.ending == Ending::NotRun ? 1 : 0;
    row.unknown += result.ending == Ending::Unknown ? 1 : 0;
    row.wrong += result.isWrong ? 1 : 0;
    if (!result.reason.empty())
        ++reasons_[result.reason];
    results_.push_back(std::move(result));
}

void Report::check(RunCounts const& counts)
{
    for (auto const& result : results_) {
        auto const found = counts.find(result.loadId);
        auto const runs = found == counts.end() ? 0 : found->second;
        auto& row = rows_[result.operation];
        row.runTwice += !result.isIdempotent && runs > 1 ? 1 : 0;
        auto const isFalse = (result.ending == Ending::NotRun && runs > 0)
            || (result.ending == Ending::Answered && result.status == 200 && runs == 0);
        row.falseOutcome += isFalse ? 1 : 0;
    }
}

std::string Report::table() const
{
    std::ostringstream text;
    constexpr int nameWidth = 16;
    constexpr int width = 11;
    text << std::left << std::setw(nameWidth) << "operation" << std::right;
    for (auto const* title : { "sent", "answered", "not-run", "unknown", "run-twice", "wrong", "false" })
        text << std::setw(width) << title;
    text << '\n';
    for (auto const& [name, row] : rows_) {
        text << std::left << std::setw(nameWidth) << name << std::right;
        for (auto const value :
            { row.sent, row.answered, row.notRun, row.unknown, row.runTwice, row.wrong, row.falseOutcome })
            text << std::setw(width) << value;
        text << '\n';
    }
    for (auto const& [reason, count] : reasons_)
        text << "reason " << reason << ": " << count << '\n';
    return text.str();
}

std::string Report::latencies(double seconds) const
{
    std::vector<std::uint32_t> values;
    for (auto const& result : results_) {
        if (result.ending == Ending::Answered && !result.isWarmUp)
            values.push_back(result.latencyMicroseconds);
    }
    std::ranges::sort(values);
    auto const percentile = [&](double share) {
        if (values.empty())
            return 0U;
        auto const index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
        return values[std::min(index, values.size() - 1)];
    };
    std::ostringstream text;
    text << std::fixed << std::setprecision(0) << "requests/s " << static_cast<double>(values.size()) / seconds
         << " answered " << values.size() << " of " << results_.size() << std::setprecision(3) << " p50 "
         << percentile(0.5) / 1000.0 << " ms p99 " << percentile(0.99) / 1000.0 << " ms p99.9 "
         << percentile(0.999) / 1000.0 << " ms";
    return text.str();
}

bool Report::hasBrokenPromise() const
{
    return std::ranges::any_of(rows_,
        [](auto const& entry) { return entry.second.runTwice + entry.second.wrong + entry.second.falseOutcome > 0; });
}

} // namespace LoadTool
