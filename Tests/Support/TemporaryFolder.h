#pragma once

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

/// A folder that is removed at the end of a test.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "primroseshift-XXXXXX";
        BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
        path_ = pattern;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    TemporaryFolder(TemporaryFolder const&) = delete;
    TemporaryFolder& operator=(TemporaryFolder const&) = delete;

    std::string file(std::string const& name) const { return path_ / name; }
    std::vector<std::string> files() const
    {
        std::vector<std::string> names;
        for (auto const& entry : std::filesystem::directory_iterator(path_))
            names.push_back(entry.path());
        return names;
    }

private:
    std::filesystem::path path_;
};

inline std::vector<std::string> readLines(std::string const& path)
{
    std::ifstream stream(path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}
