// The committed corpus, fed to every target: what a fuzzer once found stays mended, without a fuzzer.

#include "lab/fuzz/fuzztargets.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace Sequoiausher;

namespace {

std::string contentOf(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

std::set<std::filesystem::path> filesOf(std::string_view target)
{
    std::set<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(std::filesystem::path(FUZZ_CORPUS) / target)) {
        files.insert(entry.path());
    }
    return files;
}

} // namespace

TEST_CASE("every target takes its corpus")
{
    for (const FuzzTarget &target : fuzzTargets()) {
        const auto files = filesOf(target.name);
        CHECK_MESSAGE(!files.empty(), target.name);
        for (const std::filesystem::path &file : files) {
            CAPTURE(file.string());
            CHECK_NOTHROW(target.feed(contentOf(file)));
        }
    }
}

TEST_CASE("every target takes each beginning of its corpus, and each change of one byte")
{
    for (const FuzzTarget &target : fuzzTargets()) {
        for (const std::filesystem::path &file : filesOf(target.name)) {
            CAPTURE(file.string());
            const std::string whole = contentOf(file);
            for (std::size_t i = 0; i < whole.size(); ++i) {
                std::string changed = whole;
                changed[i] = static_cast<char>(changed[i] ^ 0x15);
                CHECK_NOTHROW(target.feed(std::string_view(whole).substr(0, i)));
                CHECK_NOTHROW(target.feed(changed));
            }
        }
    }
}
