#include "platform/platformdialect.h"

#include "sequoiausher/cli/checkcommand.h"
#include "sequoiausher/cli/commandline.h"
#include "sequoiausher/cli/draincommand.h"
#include "sequoiausher/cli/explaincommand.h"
#include "sequoiausher/cli/explainrequestcommand.h"
#include "sequoiausher/cli/gatewaycommand.h"
#include "sequoiausher/cli/reportcommand.h"
#include "sequoiausher/cli/routercommand.h"
#include "sequoiausher/cli/statuscommand.h"
#include "sequoiausher/cli/watchcommand.h"

#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Sequoiausher;
    try {
        CommandLine line;
        line.add(std::make_unique<CheckCommand>());
        line.add(std::make_unique<DrainCommand>());
        line.add(std::make_unique<ExplainCommand>());
        line.add(std::make_unique<ExplainRequestCommand>());
        line.add(std::make_unique<GatewayCommand>(makePlatformDialect()));
        line.add(std::make_unique<ReportCommand>());
        line.add(std::make_unique<RouterCommand>());
        line.add(std::make_unique<StatusCommand>());
        line.add(std::make_unique<WatchCommand>());
        return toStatus(line.run({argv + 1, argv + argc}, std::cout, std::cerr));
    } catch (const std::exception &error) {
        std::cerr << "sequoiausher: " << error.what() << "\n";
        return toStatus(ExitCode::Failed);
    }
}
