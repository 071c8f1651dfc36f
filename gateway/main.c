/* chalkway-gateway: routes requests by host and path in chalkway's own dialect. See docs/operators/gateway.md. */
#include <argp.h>
#include <stdio.h>
#include <sysexits.h>

#include "gateway.h"
#include "settings.h"

const char* argp_program_version = "chalkway-gateway 0.1.0";

typedef struct args_t {
    const char* config;
    bool check;
} args_t;

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    args_t* args = state->input;
    switch (key) {
        case 'c':
            args->config = arg;
            return 0;
        case 'k':
            args->check = true;
            return 0;
        case ARGP_KEY_END:
            if (!args->config) {
                argp_error(state, "a settings file is needed: -c FILE");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

static int check(const char* path) {
    gateway_settings_t settings;
    cw_settings_errors_t errors = {0};
    gateway_settings_load(path, &settings, &errors);
    for (uint32_t i = 0; i < errors.count; i++) {
        fprintf(stderr, "%s\n", errors.lines[i]);
    }
    if (!errors.count) {
        printf("settings are valid\n");
    }
    return errors.count ? EX_CONFIG : EX_OK;
}

int main(int argc, char** argv) {
    static const struct argp_option options[] = {
        {"config", 'c', "FILE", 0, "settings (INI)", 0},
        {"check", 'k', NULL, 0, "check the settings and end", 0},
        {0},
    };
    const struct argp argp = {
        .options = options, .parser = parse_option, .doc = "Routes requests by host and path to pools of servers."};
    args_t args = {0};
    argp_err_exit_status = EX_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    return args.check ? check(args.config) : gateway_main(args.config, &dialect_native, &source_native);
}
