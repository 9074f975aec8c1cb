#include "sequoiausher/cli/checkcommand.h"
#include "sequoiausher/cli/commandline.h"
#include "sequoiausher/cli/explaincommand.h"

#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Sequoiausher;
    try {
        CommandLine line;
        line.add(std::make_unique<CheckCommand>());
        line.add(std::make_unique<ExplainCommand>());
        return toStatus(line.run({argv + 1, argv + argc}, std::cout, std::cerr));
    } catch (const std::exception &error) {
        std::cerr << "sequoiausher: " << error.what() << "\n";
        return toStatus(ExitCode::Failed);
    }
}
