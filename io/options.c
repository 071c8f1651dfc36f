#include "options.h"

#include <argp.h>
#include <sysexits.h>

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    cw_options_t* options = state->input;
    switch (key) {
        case 'c':
            options->settings = arg;
            return 0;
        case 'k':
            options->check = true;
            return 0;
        case ARGP_KEY_END:
            if (!options->settings) {
                argp_error(state, "missing settings file: -c FILE");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

cw_options_t cw_options_parse(int argc, char** argv, const char* version, const char* purpose) {
    static const struct argp_option entries[] = {
        {"config", 'c', "FILE", 0, "settings file (INI)", 0},
        {"check", 'k', NULL, 0, "check the settings file and exit", 0},
        {0},
    };
    const struct argp argp = {.options = entries, .parser = parse_option, .doc = purpose};
    cw_options_t options = {0};
    argp_program_version = version;
    argp_err_exit_status = EX_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    return options;
}
