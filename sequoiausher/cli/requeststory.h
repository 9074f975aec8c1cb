#pragma once

// The history of one request from the log lines of all gateways: every line that names it, ordered by time, preceded by
// the last change of each piece of state on which the decisions about it were based.
//
//     const RequestStory story = readRequestStory(std::cin, "9c41d07be2a35f68");
//     out << toText(story);

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace Sequoiausher {

/** One line of a log. */
struct StoryLine
{
    /** The time as logged; such texts sort by time. */
    std::string time;
    std::string part;
    std::string message;
    /** The other fields of the line as name=value, ordered by name. */
    std::vector<std::string> fields;
    /** Text in front of the JSON object, such as the name of the machine; empty if there is none. */
    std::string source;
};

/** All log lines about one request. */
struct RequestStory
{
    std::string request;
    std::vector<StoryLine> lines;
    /** The last lines on configuration, targets, store and readiness before the request's last line. */
    std::vector<StoryLine> beliefs;
    /** The number of lines that are not JSON objects. */
    std::size_t unread = 0;
};

/** Reads lines of the log format `json` until the end of the stream, with or without text in front of each object. */
RequestStory readRequestStory(std::istream &log, const std::string &request);

/** Returns the history as text; states if no line names the request. */
std::string toText(const RequestStory &story);

} // namespace Sequoiausher
