#pragma once

// The story of one request out of the log lines of all gateways: every line that names it, in the order of time, and
// before it the last change of each belief by which it was decided.
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
    /** As the log has it; texts of this form sort by time. */
    std::string time;
    std::string part;
    std::string message;
    /** What else the line says, as name=value, in the order of names. */
    std::vector<std::string> fields;
    /** Whatever stood in front of the line, such as the name of the machine; empty for nothing. */
    std::string source;
};

/** All that is known of one request. */
struct RequestStory
{
    std::string request;
    std::vector<StoryLine> lines;
    /** The last lines on configuration, targets, store and readiness before the request's last line. */
    std::vector<StoryLine> beliefs;
    /** Lines that were no JSON object. */
    std::size_t unread = 0;
};

/** Reads lines of the format `json` until the end, with or without something in front of each object. */
RequestStory readRequestStory(std::istream &log, const std::string &request);

/** The story as text; says so where no line names the request. */
std::string toText(const RequestStory &story);

} // namespace Sequoiausher
