#include "sequoiausher/cli/explainrequestcommand.h"

#include "sequoiausher/cli/requeststory.h"

#include <iostream>

namespace Sequoiausher {

CommandHelp ExplainRequestCommand::help() const
{
    return {"explain-request",
            "Tell what became of one request, from the gateways' log lines (format json) on standard input",
            {"cat gateway-*.log | sequoiausher explain-request --id 9c41d07be2a35f68"}};
}

void ExplainRequestCommand::addOptions(cxxopts::Options &options) const
{
    options.add_options()("id", "The request's id", cxxopts::value<std::string>(), "ID");
}

ExitCode ExplainRequestCommand::run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const
{
    if (options.count("id") == 0) {
        err << "explain-request: found no --id, expected the request's id\n";
        return ExitCode::BadInput;
    }
    const RequestStory story = readRequestStory(std::cin, options["id"].as<std::string>());
    if (story.unread > 0) {
        err << "explain-request: " << story.unread << " lines are none of a gateway's and were passed over\n";
    }
    out << toText(story);
    return story.lines.empty() ? ExitCode::Failed : ExitCode::Ok;
}

} // namespace Sequoiausher
