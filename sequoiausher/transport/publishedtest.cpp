#include "sequoiausher/base/published.h"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

using namespace Sequoiausher;

// Symptom: a router reads freed memory, on some processors alone; the thread sanitizer reports a race in load().
// Events: workers load the configuration in force while the control thread replaces it.
// Cause: a pointer and its count were not read as one.
TEST_CASE("readers keep the value that they loaded while it is replaced")
{
    constexpr int replacements = 2000;
    Published<const std::vector<int>> published;
    CHECK(published.load() == nullptr);
    published = std::make_shared<const std::vector<int>>(8, 0);
    const auto read = [&published] {
        int last = 0;
        while (last < replacements) {
            const auto seen = published.load();
            REQUIRE(seen->front() == seen->back());
            REQUIRE(seen->front() >= last);
            last = seen->front();
        }
    };
    std::thread one(read);
    std::thread other(read);
    for (int i = 1; i <= replacements; ++i) {
        published = std::make_shared<const std::vector<int>>(8, i);
    }
    one.join();
    other.join();
    CHECK(published.load()->front() == replacements);
}
