#include "sequoiausher/base/ini/inidocument.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

namespace {

constexpr std::string_view space = " \t";

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(space);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(space) - first + 1);
}

bool isControl(char c)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return (byte < firstPrintable && c != '\t') || byte == deleteCharacter;
}

/** Parses a document line by line. */
class IniParser
{
public:
    IniParser(const std::string &file, Problems &target) : problems(target)
    {
        this->document.file = file;
    }

    void readLine(std::string_view line)
    {
        ++this->lineNumber;
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        const auto control = std::find_if(line.begin(), line.end(), isControl);
        if (control != line.end()) {
            this->report(
                static_cast<std::size_t>(control - line.begin()) + 1, "", "a control character", "printable text");
            return;
        }
        const std::string_view content = trimmed(line);
        if (content.empty() || content.front() == ';' || content.front() == '#') {
            return;
        }
        if (content.front() == '[') {
            this->openSection(line, content);
        } else {
            this->addEntry(line, content);
        }
    }

    IniDocument document;

private:
    void report(std::size_t column, const std::string &key, const std::string &found, const std::string &expected)
    {
        const std::string section = this->document.sections.empty() ? "" : this->document.sections.back().name;
        addProblem(this->problems,
                   {Severity::Error, this->document.file, this->lineNumber, column, section, key, found, expected, ""});
    }

    static std::size_t columnOf(std::string_view line, std::string_view part)
    {
        return static_cast<std::size_t>(part.data() - line.data()) + 1;
    }

    void openSection(std::string_view line, std::string_view content)
    {
        const std::size_t column = columnOf(line, content);
        this->keyLines.clear();
        if (content.back() != ']') {
            this->report(column, "", inQuotes(content), "']' at the end of the section's name");
        }
        content.remove_prefix(1);
        if (!content.empty() && content.back() == ']') {
            content.remove_suffix(1);
        }
        const std::string name{trimmed(content)};
        if (name.empty()) {
            this->report(column, "", "a section without a name", "'[name]'");
        }
        const auto [known, isNew] = this->sectionLines.try_emplace(name, this->lineNumber);
        this->document.sections.push_back({name, this->lineNumber, {}});
        if (!isNew) {
            this->report(column, "", "the section again", "it once, as in line " + std::to_string(known->second));
        }
    }

    void addEntry(std::string_view line, std::string_view content)
    {
        const std::size_t equals = content.find('=');
        if (equals == std::string_view::npos) {
            this->report(columnOf(line, content), "", inQuotes(content), "'key = value' or '[section]'");
            return;
        }
        const std::string key{trimmed(content.substr(0, equals))};
        if (key.empty()) {
            this->report(columnOf(line, content), "", "a value without a key", "'key = value'");
            return;
        }
        if (this->document.sections.empty()) {
            this->report(columnOf(line, content), key, "a key outside every section", "'[section]' before it");
            return;
        }
        const auto [known, isNew] = this->keyLines.try_emplace(key, this->lineNumber);
        if (!isNew) {
            this->report(columnOf(line, content),
                         key,
                         "the key again",
                         "it once in its section, as in line " + std::to_string(known->second));
            return;
        }
        const std::string_view value = trimmed(content.substr(equals + 1));
        const std::size_t column = value.empty() ? line.size() + 1 : columnOf(line, value);
        this->document.sections.back().entries.push_back({key, std::string(value), this->lineNumber, column});
    }

    Problems &problems;
    std::size_t lineNumber = 0;
    std::unordered_map<std::string, std::size_t> sectionLines;
    std::unordered_map<std::string, std::size_t> keyLines;
};

} // namespace

IniDocument parseIni(std::string_view text, const std::string &file, Problems &problems, std::size_t maximumBytes)
{
    if (text.size() > maximumBytes) {
        addProblem(problems,
                   {Severity::Error,
                    file,
                    0,
                    0,
                    "",
                    "",
                    std::to_string(text.size()) + " bytes",
                    "at most " + std::to_string(maximumBytes) + " bytes",
                    ""});
        return {file, {}};
    }
    IniParser parser(file, problems);
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t end = std::min(text.find('\n', start), text.size());
        parser.readLine(text.substr(start, end - start));
        start = end + 1;
    }
    return std::move(parser.document);
}

} // namespace Sequoiausher
