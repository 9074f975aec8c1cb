#include "sequoiausher/cli/requeststory.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace Sequoiausher {

namespace {

/** The parts that tell of changes in what a gateway believes. */
bool isBelief(const std::string &part)
{
    return part == "config" || part == "targets" || part == "platform" || part == "main" || part == "peers";
}

std::optional<StoryLine> readLine(const std::string &text, std::string &request)
{
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    const QByteArray json = QByteArray::fromStdString(text.substr(begin));
    const QJsonObject object = QJsonDocument::fromJson(json).object();
    if (object.isEmpty()) {
        return std::nullopt;
    }
    StoryLine line;
    line.source = text.substr(0, begin);
    while (!line.source.empty() && line.source.back() == ' ') {
        line.source.pop_back();
    }
    for (auto field = object.begin(); field != object.end(); ++field) {
        const std::string name = field.key().toStdString();
        const std::string value = field.value().toString().toStdString();
        if (name == "time") {
            line.time = value;
        } else if (name == "part") {
            line.part = value;
        } else if (name == "message") {
            line.message = value;
        } else if (name == "request") {
            request = value;
        } else if (name != "level") {
            line.fields.push_back(name);
            line.fields.back().append("=").append(value);
        }
    }
    return line;
}

std::string lineText(const StoryLine &line)
{
    std::string text = line.time + " " + line.part + ": " + line.message;
    for (const std::string &field : line.fields) {
        text += " " + field;
    }
    return line.source.empty() ? text + "\n" : text + " [" + line.source + "]\n";
}

void sortByTime(std::vector<StoryLine> &lines)
{
    std::stable_sort(
        lines.begin(), lines.end(), [](const StoryLine &a, const StoryLine &b) { return a.time < b.time; });
}

} // namespace

RequestStory readRequestStory(std::istream &log, const std::string &request)
{
    RequestStory story;
    story.request = request;
    std::vector<StoryLine> beliefs;
    std::string text;
    while (std::getline(log, text)) {
        std::string named;
        std::optional<StoryLine> line = readLine(text, named);
        if (!line) {
            story.unread += 1;
        } else if (named == request) {
            story.lines.push_back(std::move(*line));
        } else if (named.empty() && isBelief(line->part)) {
            beliefs.push_back(std::move(*line));
        }
    }
    sortByTime(story.lines);
    sortByTime(beliefs);
    const std::string until = story.lines.empty() ? "" : story.lines.back().time;
    std::map<std::pair<std::string, std::string>, StoryLine> last;
    for (StoryLine &belief : beliefs) {
        if (belief.time <= until) {
            last[{belief.source, belief.part}] = std::move(belief);
        }
    }
    for (auto &[key, belief] : last) {
        story.beliefs.push_back(std::move(belief));
    }
    sortByTime(story.beliefs);
    return story;
}

std::string toText(const RequestStory &story)
{
    if (story.lines.empty()) {
        return "no line names the request " + story.request + "\n";
    }
    std::string text = "what was believed:\n";
    for (const StoryLine &line : story.beliefs) {
        text += "  " + lineText(line);
    }
    text += "what became of request " + story.request + ":\n";
    for (const StoryLine &line : story.lines) {
        text += "  " + lineText(line);
    }
    return text;
}

} // namespace Sequoiausher
