/// \file
/// Checks the figures in docs/CAPACITY.md against the committed results in docs/capacity/. A figure that is
/// derived from the results is followed by its formula in a comment:
///
///   5.0 MB<!-- = line:nodes/broker.memory_kb * 1500 / 1024 + intercept:nodes/broker.memory_kb / 1024 -->
///
/// `line:SWEEP/FIGURE` is the slope of a sweep and `intercept:SWEEP/FIGURE` its intercept; `slopes:`,
/// `alone:`, `scale:` and `faults:` are followed by the name of a metric in the result file of that kind. The
/// printed number must be the formula's value, rounded.
#include "config/config.hpp"

#include <cmath>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <regex>
#include <sstream>

using namespace marblewood;

namespace {

/// The metrics, slopes and intercepts of all result files, by the names that formulas use.
class Results {
public:
    Results() {
        for (const auto &[name, file] : {std::pair("slopes", "scale-slopes"),
                                         {"alone", "scale-alone"},
                                         {"scale", "scale"},
                                         {"faults", "scale-faults"}}) {
            const std::string path = fmt::format("{}/capacity/{}.json", MARBLEWOOD_DOCS_FOLDER, file);
            const Json::Value root = config::parse(config::read_text(path));
            for (const std::string &metric : root["metrics"].getMemberNames())
                values_[fmt::format("{}:{}", name, metric)] = root["metrics"][metric].asDouble();
            for (const Json::Value &slope : root["slopes"]) {
                const std::string line = slope["sweep"].asString() + "/" + slope["figure"].asString();
                values_["line:" + line] = slope["slope"].asDouble();
                values_["intercept:" + line] = slope["intercept"].asDouble();
            }
        }
    }
    /// The value of a name or of a literal number; throws std::invalid_argument if it is neither.
    double value(const std::string &name) const {
        const auto at = values_.find(name);
        if (at != values_.end())
            return at->second;
        std::size_t parsed_length = 0;
        // Throws if `name` does not start with a number.
        const double number = std::stod(name, &parsed_length);
        if (parsed_length != name.size())
            throw std::invalid_argument("unknown figure: " + name);
        return number;
    }

private:
    std::map<std::string, double> values_;
};

// Evaluates a formula of operands and operators separated by spaces; * and / bind tighter than + and -.
double evaluate(const std::string &formula, const Results &results) {
    std::istringstream words(formula);
    double sum = 0, product = 0;
    char sign = '+';
    bool first = true;
    for (std::string word, operation = "+"; words >> word;) {
        const double value = results.value(word);
        if (operation == "*") {
            product *= value;
        } else if (operation == "/") {
            product /= value;
        } else {
            if (!first)
                sum += sign == '+' ? product : -product;
            sign = operation[0];
            product = value;
        }
        first = false;
        if (!(words >> operation))
            break;
        if (operation != "+" && operation != "-" && operation != "*" && operation != "/")
            throw std::invalid_argument("unknown operator: " + operation);
    }
    return sum + (sign == '+' ? product : -product);
}

struct Printed {
    double value = 0, unit = 1; // `unit`: the place value of the last digit
};
Printed read_number(std::string text) {
    std::erase(text, ',');
    const std::size_t point = text.find('.');
    const std::size_t digits = point == std::string::npos ? 0 : text.size() - point - 1;
    return {std::stod(text), std::pow(10.0, -static_cast<double>(digits))};
}

} // namespace

TEST(Capacity, FormulasAreRead) {
    const Results results;
    EXPECT_DOUBLE_EQ(evaluate("2 * 3 + 4 / 8 - 1", results), 5.5);
    EXPECT_THROW(evaluate("2 * slopes:nothing", results), std::exception);
    EXPECT_DOUBLE_EQ(read_number("1,234.50").value, 1234.5);
    EXPECT_DOUBLE_EQ(read_number("1,234.50").unit, 0.01);
}

TEST(Capacity, EachFigureOfThePageIsWhatItsFormulaGives) {
    const Results results;
    const std::string page = config::read_text(MARBLEWOOD_DOCS_FOLDER "/CAPACITY.md");
    const std::regex figure(R"((\d[\d,]*(?:\.\d+)?)([^\d<|]*)<!-- = ([^>]+) -->)");
    std::ptrdiff_t checked = 0;
    for (std::sregex_iterator at(page.begin(), page.end(), figure), end; at != end; ++at, ++checked) {
        const std::string formula = (*at)[3];
        const Printed printed = read_number((*at)[1]);
        EXPECT_NEAR(printed.value, evaluate(formula, results), 0.51 * printed.unit) << formula;
    }
    const std::regex mark("<!-- =");
    EXPECT_EQ(checked, std::distance(std::sregex_iterator(page.begin(), page.end(), mark), {}));
    EXPECT_GE(checked, 40) << "the page has lost its formulas";
}
