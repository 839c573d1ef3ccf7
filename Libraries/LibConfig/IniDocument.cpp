#include <LibConfig/IniDocument.h>

#include <ini.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <mutex>
#include <span>
#include <sstream>

namespace Config {

namespace {

    constexpr std::string_view whitespace = " \t\r\n\v\f";
    constexpr std::string_view utf8ByteOrderMark = "\xEF\xBB\xBF";

    std::string_view trim(std::string_view text)
    {
        auto const first = text.find_first_not_of(whitespace);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
    }

    /// Feeds lines to inih and keeps track of the line and section, because the packaged inih passes no line numbers to
    /// its handler and cuts section names at 49 bytes.
    class LineFeeder {
    public:
        LineFeeder(std::string_view text, std::string_view file)
            : rest_(text)
        {
            document_.file = file;
            if (rest_.starts_with(utf8ByteOrderMark))
                rest_.remove_prefix(utf8ByteOrderMark.size());
        }

        IniDocument parse()
        {
            ini_parse_stream(&LineFeeder::nextLine, this, &LineFeeder::addEntry, this);
            finishLine();
            return std::move(document_);
        }

    private:
        static char* nextLine(char* buffer, int capacity, void* feeder)
        {
            return static_cast<LineFeeder*>(feeder)->writeNextLine({ buffer, static_cast<std::size_t>(capacity) });
        }

        static int addEntry(void* feeder, char const*, char const* key, char const* value)
        {
            static_cast<LineFeeder*>(feeder)->addEntry(key, value);
            return 1;
        }

        char* writeNextLine(std::span<char> buffer)
        {
            finishLine();
            if (rest_.empty())
                return nullptr;
            auto const end = rest_.find('\n');
            auto const line = trim(rest_.substr(0, end));
            rest_.remove_prefix(end == std::string_view::npos ? rest_.size() : end + 1);
            ++line_;
            auto const accepted = acceptLine(line, std::min(maxLineBytes, buffer.size() - 1));
            std::ranges::copy(accepted, buffer.begin());
            buffer[accepted.size()] = '\0';
            return buffer.data();
        }

        /// The line as inih shall see it; empty when it is at fault or was handled here.
        std::string_view acceptLine(std::string_view line, std::size_t maxBytes)
        {
            if (line.empty() || line.front() == ';' || line.front() == '#')
                return {};
            if (line.size() > maxBytes) {
                report(OverlongLine { line.size(), maxBytes });
                return {};
            }
            if (line.find('\0') != std::string_view::npos) {
                report(MalformedLine {});
                return {};
            }
            if (line.front() == '[') {
                openSection(line);
                return {};
            }
            expectsEntry_ = true;
            return line;
        }

        void openSection(std::string_view line)
        {
            if (line.find(']') != line.size() - 1) {
                report(MalformedLine {});
                return;
            }
            auto const name = line.substr(1, line.size() - 2);
            document_.sections.push_back({ std::string(name), line_, {} });
            auto const* first = document_.find(name);
            if (first != &document_.sections.back())
                report(DuplicateSection { first->line });
        }

        void addEntry(std::string_view key, std::string_view value)
        {
            if (key.empty())
                return;
            expectsEntry_ = false;
            if (document_.sections.empty())
                document_.sections.emplace_back();
            auto& section = document_.sections.back();
            if (auto const* first = section.find(key)) {
                document_.errors.push_back(
                    { document_.file, line_, section.name, std::string(key), DuplicateKey { first->line } });
                return;
            }
            section.entries.push_back({ std::string(key), std::string(value), line_ });
        }

        void finishLine()
        {
            if (expectsEntry_)
                report(MalformedLine {});
            expectsEntry_ = false;
        }

        void report(ConfigErrorReason reason)
        {
            auto const section = document_.sections.empty() ? std::string() : document_.sections.back().name;
            document_.errors.push_back({ document_.file, line_, section, {}, std::move(reason) });
        }

        std::string_view rest_;
        std::uint32_t line_ { 0 };
        bool expectsEntry_ { false };
        IniDocument document_;
    };

    /// inih takes its options from global variables.
    void setOptionsOnce()
    {
        static std::once_flag flag;
        std::call_once(flag, [] {
            ini_use_stack = false;
            ini_allow_realloc = false;
            ini_initial_alloc = static_cast<int>(maxLineBytes + 1);
            ini_max_line = static_cast<int>(maxLineBytes + 1);
            ini_allow_inline_comments = false;
            ini_allow_multiline = false;
            ini_allow_no_value = false;
            ini_stop_on_first_error = false;
        });
    }

} // namespace

IniEntry const* IniSection::find(std::string_view key) const
{
    auto const found = std::ranges::find(entries, key, &IniEntry::key);
    return found == entries.end() ? nullptr : &*found;
}

IniSection const* IniDocument::find(std::string_view name) const
{
    auto const found = std::ranges::find(sections, name, &IniSection::name);
    return found == sections.end() ? nullptr : &*found;
}

IniDocument parseIni(std::string_view text, std::string_view file)
{
    setOptionsOnce();
    return LineFeeder(text, file).parse();
}

Core::Result<std::string, ConfigErrors> readFile(std::string const& path)
{
    errno = 0;
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    // Reading a folder opens without an error and fails at the first read.
    if (!stream || (!(content << stream.rdbuf()) && errno != 0))
        return ConfigErrors { { path, 0, {}, {}, UnreadableFile { errno } } };
    return content.str();
}

} // namespace Config
