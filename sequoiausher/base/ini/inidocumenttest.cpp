#include "sequoiausher/base/ini/inidocument.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace Sequoiausher;

namespace {

struct BadText
{
    std::string text;
    std::string problem;
};

} // namespace

TEST_CASE("order, places and untrimmed inner text are kept")
{
    Problems problems;
    const IniDocument document = parseIni("; first\n\n[b]\r\n  z = 1 ; not a comment\na=\n[a x]\n", "f.ini", problems);
    CHECK(problems.empty());
    REQUIRE(document.sections.size() == 2);
    CHECK(document.sections[0].name == "b");
    CHECK(document.sections[0].line == 3);
    REQUIRE(document.sections[0].entries.size() == 2);
    CHECK(document.sections[0].entries[0].key == "z");
    CHECK(document.sections[0].entries[0].value == "1 ; not a comment");
    CHECK(document.sections[0].entries[0].line == 4);
    CHECK(document.sections[0].entries[0].column == 7);
    CHECK(document.sections[0].entries[1].value.empty());
    CHECK(document.sections[1].name == "a x");
}

TEST_CASE("each malformed text gives its error")
{
    const BadText cases[] = {
        {"a = 1\n", "f.ini:1:1: a: found a key outside every section, expected '[section]' before it"},
        {"[s]\nno equals\n", "f.ini:2:1: [s]: found 'no equals', expected 'key = value' or '[section]'"},
        {"[s]\n = 3\n", "f.ini:2:2: [s]: found a value without a key, expected 'key = value'"},
        {"[s\na = 1\n", "f.ini:1:1: found '[s', expected ']' at the end of the section's name"},
        {"[ ]\n", "f.ini:1:1: found a section without a name, expected '[name]'"},
        {"[s]\n[t]\n[s]\n", "f.ini:3:1: [s]: found the section again, expected it once, as in line 1"},
        {"[s]\na = 1\na = 2\n", "f.ini:3:1: [s] a: found the key again, expected it once in its section, as in line 2"},
        {"[s]\na = \x01\n", "f.ini:2:5: [s]: found a control character, expected printable text"},
        {std::string(maximumIniBytes + 1, '\n'), "f.ini: found 1048577 bytes, expected at most 1048576 bytes"},
    };
    for (const BadText &bad : cases) {
        Problems problems;
        parseIni(bad.text, "f.ini", problems);
        REQUIRE(problems.size() == 1);
        CHECK(toText(problems[0]) == bad.problem);
    }
}

TEST_CASE("every mistake of a text is reported, up to the bound")
{
    std::string text = "[s]\n";
    for (std::size_t i = 0; i < maximumProblems * 2; ++i) {
        text += "x\n";
    }
    Problems problems;
    parseIni(text, "f.ini", problems);
    CHECK(problems.size() == maximumProblems);
    CHECK_THROWS_AS(throwOnErrors(Step::Settings, "f.ini", problems), ProblemsError);
}

TEST_CASE("random bytes are read or refused, never more")
{
    CHECK(rc::check("parseIni takes any bytes", [](const std::string &text) {
        Problems problems;
        parseIni(text, "f.ini", problems);
    }));
    CHECK(rc::check("parseIni takes any mix of its own marks", [] {
        const auto text = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("[]=;# \n\r\tab")));
        Problems problems;
        const IniDocument document = parseIni(text, "f.ini", problems);
        for (const IniSection &section : document.sections) {
            for (const IniEntry &entry : section.entries) {
                RC_ASSERT(entry.line > section.line);
            }
        }
    }));
}

TEST_CASE("the nearest name is one that a typing error would make")
{
    CHECK(nearestName("adress", {"name", "address", "workers"}) == "address");
    CHECK(nearestName("worker", {"name", "address", "workers"}) == "workers");
    CHECK(nearestName("colour", {"name", "address", "workers"}).empty());
}
