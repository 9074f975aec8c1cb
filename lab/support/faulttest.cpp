#include "lab/support/fault.h"

#include <doctest/doctest.h>

using namespace Sequoiausher::Lab;

TEST_CASE("a fault is read by its name, with a value where there is one")
{
    struct Case
    {
        const char *json;
        std::optional<Fault> fault;
    };
    const Case cases[] = {
        {R"({"mode": "break_midway", "value": 3})", Fault{FaultMode::BreakMidway, 3}},
        {R"({"mode": "none"})", Fault{FaultMode::None, 0}},
        {R"({"mode": "unheard-of"})", std::nullopt},
        {"[1]", std::nullopt},
        {"", std::nullopt},
    };
    for (const Case &row : cases) {
        CAPTURE(row.json);
        CHECK(parseFault(row.json) == row.fault);
    }
}
