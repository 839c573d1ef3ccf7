#include "Command.h"

#include <LibConfig/DaemonSettings.h>
#include <LibConfig/TablesDocument.h>
#include <LibTelemetry/SpanWriter.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <map>
#include <set>
#include <system_error>

namespace Ctl {

namespace {

    template <typename T>
    ExitCode reportCheck(std::string const& path, Core::Result<T, Config::ConfigErrors> const& result)
    {
        if (!result.isError()) {
            std::cout << path << ": no errors\n";
            return ExitCode::Success;
        }
        for (auto const& error : result.error())
            std::cerr << Config::describe(error) << "\n";
        return ExitCode::Invalid;
    }

    ExitCode printReference()
    {
        std::string section;
        for (auto const& key : Config::settingsReference()) {
            if (key.section != section)
                std::cout << "\n### [" << key.section << "]\n\n| key | default | type | range | meaning |\n"
                          << "| --- | --- | --- | --- | --- |\n";
            section = key.section;
            auto const defaultValue = key.defaultValue.empty() ? "none" : "`" + key.defaultValue + "`";
            std::cout << "| `" << key.key << "` | " << (key.isRequired ? "required" : defaultValue) << " | " << key.type
                      << " | " << key.range << " | " << key.meaning << " |\n";
        }
        return ExitCode::Success;
    }

    ExitCode runCheck(Context const& context)
    {
        auto const arguments = context.arguments();
        if (context.options.count("reference") > 0 && arguments.empty())
            return printReference();
        if (arguments.size() == 2 && arguments[0] == "settings")
            return reportCheck(arguments[1], Config::loadDaemonSettings(arguments[1]));
        if (arguments.size() == 2 && arguments[0] == "tables")
            return reportCheck(arguments[1], Config::loadTables(arguments[1]));
        throw UsageError { "expected: check settings FILE, check tables FILE, or check --reference" };
    }

    struct HostSpan {
        Telemetry::Span span;
        std::string host;
    };

    /// Prints the spans of one trace as trees. Spans whose parent is not in the files are roots.
    class SpanTree {
    public:
        explicit SpanTree(std::vector<HostSpan> spans)
            : spans_(std::move(spans))
        {
            std::ranges::stable_sort(spans_, {}, [](HostSpan const& entry) { return entry.span.startNanoseconds; });
            for (auto const& entry : spans_)
                ids_.insert(entry.span.context.spanId);
            for (auto const& entry : spans_) {
                auto const parent = entry.span.parentSpanId;
                children_[ids_.contains(parent) && parent != entry.span.context.spanId ? parent : 0].push_back(&entry);
            }
        }

        /// Returns the number of spans printed. Fewer than given when spans name each other as parents.
        std::size_t print() { return printChildren(0, 0); }

    private:
        // NOLINTNEXTLINE(misc-no-recursion): the depth is that of the trace, and each span is printed once.
        std::size_t printChildren(std::uint64_t parent, std::size_t depth)
        {
            auto const found = children_.find(parent);
            if (found == children_.end() || !printed_.insert(parent).second)
                return 0;
            std::size_t count = 0;
            for (auto const* entry : found->second) {
                printSpan(*entry, depth);
                count += 1 + printChildren(entry->span.context.spanId, depth + 1);
            }
            return count;
        }

        void printSpan(HostSpan const& entry, std::size_t depth) const
        {
            auto const& span = entry.span;
            auto const start = span.startNanoseconds - spans_.front().span.startNanoseconds;
            std::cout << std::string(2 * depth, ' ') << span.name << "  " << entry.host << "  +" << start / 1000
                      << "us  " << (span.endNanoseconds - span.startNanoseconds) / 1000 << "us";
            for (auto const& attribute : span.attributes)
                std::cout << "  " << attribute.key << "=" << attribute.value;
            if (span.isError)
                std::cout << "  ERROR " << span.statusMessage;
            std::cout << "\n";
        }

        std::vector<HostSpan> spans_;
        std::set<std::uint64_t> ids_;
        std::map<std::uint64_t, std::vector<HostSpan const*>> children_;
        std::set<std::uint64_t> printed_;
    };

    bool readSpans(std::string const& path, Core::RequestId traceId, std::vector<HostSpan>& spans)
    {
        errno = 0;
        std::ifstream stream(path);
        if (!stream) {
            std::cerr << "primroseshiftctl: " << path << ": " << std::generic_category().message(errno) << "\n";
            return false;
        }
        auto const id = traceId.toString();
        std::size_t unreadable = 0;
        for (std::string line; std::getline(stream, line);) {
            std::string host;
            // Most lines belong to other traces; only matching ones are worth parsing.
            if (line.find(id) == std::string::npos)
                continue;
            auto span = Telemetry::parseOtlpLine(line, host);
            if (!span)
                ++unreadable;
            else if (span->context.traceId == traceId)
                spans.push_back({ std::move(*span), std::move(host) });
        }
        if (unreadable > 0)
            std::cerr << "primroseshiftctl: " << path << ": " << unreadable << " lines are not spans\n";
        return true;
    }

    ExitCode runTrace(Context const& context)
    {
        auto const arguments = context.arguments();
        auto const traceId = arguments.empty() ? std::nullopt : Core::RequestId::parse(arguments.front());
        if (!traceId || arguments.size() < 2)
            throw UsageError { "expected: trace ID FILE..., with a trace id of 32 hexadecimal digits" };
        std::vector<HostSpan> spans;
        for (auto file = std::next(arguments.begin()); file != arguments.end(); ++file) {
            if (!readSpans(*file, *traceId, spans))
                return ExitCode::NotFound;
        }
        if (spans.empty()) {
            std::cerr << "primroseshiftctl: no span of this trace\n";
            return ExitCode::NotFound;
        }
        auto const total = spans.size();
        auto const printed = SpanTree(std::move(spans)).print();
        if (printed < total)
            std::cerr << "primroseshiftctl: " << total - printed << " spans name each other as parents\n";
        return ExitCode::Success;
    }

    void addCheckOptions(cxxopts::Options& options)
    {
        options.add_options()("reference", "Print all keys of the daemon settings as Markdown tables");
    }

} // namespace

std::span<Command const> offlineCommands()
{
    static std::array<Command, 2> const commands { {
        { "check", "settings FILE | tables FILE", "Check daemon settings or pools and routes offline", addCheckOptions,
            runCheck },
        { "trace", "ID FILE...", "Print the spans of a trace from span files", addNoOptions, runTrace },
    } };
    return commands;
}

} // namespace Ctl
