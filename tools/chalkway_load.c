/*
    chalkway-load SCENARIO.ini [-o FILE.json]: generates open-loop load against running hosts and prints the results of
    each class; see samples/load.ini.

    [load]            addresses (IP:PORT, separated by commas), seconds, callers, seed
    [workspace NAME]  token, share
    [class NAME]      path, model (engines), once, stream, deadline_ms, weight, length, rate,
                      burst_at_s, burst_rate, burst_s

    once: run-once calls, sent under idempotency keys; length: mean tokens of a response; rates in requests per second
*/
#include <argp.h>
#include <ini.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "load.h"

#define TEXT_BYTES_MAX 16384
#define TICKS_PER_PROGRESS_LINE 10 /* on_progress is called every 100 ms */

const char* argp_program_version = "chalkway-load 0.1.0";

typedef struct args_t {
    const char* scenario;
    const char* output;
} args_t;

typedef struct scenario_t {
    load_desc_t load;
    uint32_t seed_count;
    char text_bytes[TEXT_BYTES_MAX]; /* storage of names, paths, tokens and addresses */
    size_t text_bytes_used;
    int error_count; /* errors in the scenario file; any of them is fatal */
    int ticks;
} scenario_t;

/* Copies a text into the scenario's storage; counts an error and returns "" when the storage is full. */
static const char* store_text(scenario_t* s, const char* text) {
    size_t size = strlen(text) + 1;
    if (s->text_bytes_used + size > sizeof(s->text_bytes)) {
        s->error_count++;
        return "";
    }
    char* out = s->text_bytes + s->text_bytes_used;
    memcpy(out, text, size);
    s->text_bytes_used += size;
    return out;
}

/* -- scenario ------------------------------------------------------------- */

static bool read_load(scenario_t* s, const char* key, const char* value) {
    if (strcmp(key, "seconds") == 0) {
        s->load.duration_s = strtod(value, NULL);
    } else if (strcmp(key, "callers") == 0) {
        s->load.callers = (uint32_t)strtoul(value, NULL, 10);
    } else if (strcmp(key, "seed") == 0) {
        s->load.seed = strtoull(value, NULL, 10);
    } else if (strcmp(key, "addresses") == 0) {
        char* list = (char*)store_text(s, value);
        char* saveptr = NULL;
        for (char* address = strtok_r(list, ", ", &saveptr); address && s->seed_count < 15;
             address = strtok_r(NULL, ", ", &saveptr)) {
            s->load.seeds[s->seed_count++] = address;
        }
    } else {
        return false;
    }
    return true;
}

static load_workspace_t* find_or_add_workspace(scenario_t* s, const char* name) {
    static const char* names[LOAD_MAX_WORKSPACES];
    for (uint32_t i = 0; i < s->load.workspace_count; i++) {
        if (strcmp(names[i], name) == 0) {
            return &s->load.workspaces[i];
        }
    }
    if (s->load.workspace_count == LOAD_MAX_WORKSPACES) {
        return NULL;
    }
    names[s->load.workspace_count] = store_text(s, name);
    s->load.workspaces[s->load.workspace_count] = (load_workspace_t){.share = 1};
    return &s->load.workspaces[s->load.workspace_count++];
}

static load_class_t* find_or_add_class(scenario_t* s, const char* name) {
    for (uint32_t i = 0; i < s->load.class_count; i++) {
        if (strcmp(s->load.classes[i].name, name) == 0) {
            return &s->load.classes[i];
        }
    }
    if (s->load.class_count == LOAD_MAX_CLASSES) {
        return NULL;
    }
    load_class_t* c = &s->load.classes[s->load.class_count++];
    *c = (load_class_t){.name = store_text(s, name), .deadline_ms = 10000, .weight = 1, .mean_tokens = 50};
    return c;
}

static bool read_workspace(scenario_t* s, const char* name, const char* key, const char* value) {
    load_workspace_t* w = find_or_add_workspace(s, name);
    if (w && strcmp(key, "token") == 0) {
        w->token = store_text(s, value);
    } else if (w && strcmp(key, "share") == 0) {
        w->share = strtod(value, NULL);
    } else {
        return false;
    }
    return true;
}

static bool read_class(scenario_t* s, const char* name, const char* key, const char* value) {
    load_class_t* c = find_or_add_class(s, name);
    double number = strtod(value, NULL);
    if (!c) {
        return false;
    }
    if (strcmp(key, "path") == 0) {
        c->path = store_text(s, value);
    } else if (strcmp(key, "model") == 0) {
        c->model = store_text(s, value);
    } else if (strcmp(key, "once") == 0) {
        c->is_run_once = strcmp(value, "yes") == 0;
    } else if (strcmp(key, "stream") == 0) {
        c->is_stream = strcmp(value, "yes") == 0;
    } else if (strcmp(key, "deadline_ms") == 0) {
        c->deadline_ms = (uint32_t)number;
    } else if (strcmp(key, "weight") == 0) {
        c->weight = number;
    } else if (strcmp(key, "length") == 0) {
        c->mean_tokens = number;
    } else if (strcmp(key, "rate") == 0) {
        c->phases[0].rate_per_s = number;
    } else if (strcmp(key, "burst_at_s") == 0) {
        c->phases[1].from_s = number;
    } else if (strcmp(key, "burst_rate") == 0) {
        c->phases[1].rate_per_s = number;
    } else if (strcmp(key, "burst_s") == 0) {
        c->phases[2].from_s = number; /* duration of the burst, until finish_scenario adds its start */
    } else {
        return false;
    }
    return true;
}

static int read_line(void* user, const char* section, const char* key, const char* value) {
    scenario_t* s = user;
    bool is_known = false;
    if (strcmp(section, "load") == 0) {
        is_known = read_load(s, key, value);
    } else if (strncmp(section, "workspace ", 10) == 0) {
        is_known = read_workspace(s, section + 10, key, value);
    } else if (strncmp(section, "class ", 6) == 0) {
        is_known = read_class(s, section + 6, key, value);
    }
    if (!is_known) {
        fprintf(stderr, "[%s] %s: unknown setting, or too many classes or workspaces\n", section, key);
        s->error_count++;
    }
    return 1;
}

/* Sets the phase that follows a burst and checks required settings. Prints errors; returns false if the file has
   any, also those found earlier. */
static bool finish_scenario(scenario_t* s) {
    for (uint32_t i = 0; i < s->load.class_count; i++) {
        load_class_t* c = &s->load.classes[i];
        if (!c->path) {
            fprintf(stderr, "[class %s] path: required setting is missing\n", c->name);
            s->error_count++;
        }
        if (c->phases[1].from_s > 0) {
            c->phases[2] = (load_phase_t){.from_s = c->phases[1].from_s + c->phases[2].from_s,
                                          .rate_per_s = c->phases[0].rate_per_s};
        }
    }
    for (uint32_t i = 0; i < s->load.workspace_count; i++) {
        if (!s->load.workspaces[i].token) {
            fprintf(stderr, "[workspace] token: required setting is missing in a workspace\n");
            s->error_count++;
        }
    }
    if (!s->seed_count || !s->load.class_count || !s->load.workspace_count || s->load.duration_s <= 0) {
        fprintf(stderr, "[load] addresses and seconds, one class and one workspace are required\n");
        s->error_count++;
    }
    return s->error_count == 0;
}

/* -- results -------------------------------------------------------------- */

static void on_progress(void* user, double at_s) {
    scenario_t* s = user;
    if (++s->ticks % TICKS_PER_PROGRESS_LINE == 0) {
        fprintf(stderr, "\r%.0f of %.0f s ", at_s, s->load.duration_s);
    }
}

static json_t* print_report(const scenario_t* s, const load_result_t* r) {
    json_t* classes = json_object();
    double goodput = 0;
    printf("%-24s %7s %10s %7s %7s %7s %8s %8s %7s\n", "CLASS", "SENT", "ATTAINMENT", "P50 MS", "P95 MS", "P99 MS",
           "REFUSED", "UNKNOWN", "WRONG");
    for (uint32_t i = 0; i < s->load.class_count; i++) {
        const load_class_result_t* c = &r->classes[i];
        double attainment = c->sent ? (double)c->in_time / c->sent : 0;
        uint32_t unknown = c->unknown + c->failed + c->truncated;
        goodput += s->load.classes[i].weight * c->in_time / r->duration_s;
        printf("%-24s %7u %10.4f %7u %7u %7u %8u %8u %7u\n", s->load.classes[i].name, c->sent, attainment,
               cw_hist_quantile(&c->total_ms, 0.5), cw_hist_quantile(&c->total_ms, 0.95),
               cw_hist_quantile(&c->total_ms, 0.99), c->refused, unknown, c->mismatched);
        json_object_set_new(classes, s->load.classes[i].name,
                            json_pack("{s:i,s:f,s:i,s:i,s:i,s:i,s:i,s:i}", "sent", (int)c->sent, "attainment",
                                      attainment, "p50_ms", (int)cw_hist_quantile(&c->total_ms, 0.5), "p95_ms",
                                      (int)cw_hist_quantile(&c->total_ms, 0.95), "p99_ms",
                                      (int)cw_hist_quantile(&c->total_ms, 0.99), "refused", (int)c->refused, "unknown",
                                      (int)unknown, "wrong", (int)c->mismatched));
    }
    printf("goodput %.2f/s, retries %u, generator lag p99 %u ms\n", goodput, r->retries, r->lag_p99_ms);
    return json_pack("{s:o,s:f,s:i,s:i}", "classes", classes, "goodput", goodput, "retries", (int)r->retries,
                     "lag_p99_ms", (int)r->lag_p99_ms);
}

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    args_t* args = state->input;
    switch (key) {
        case 'o':
            args->output = arg;
            return 0;
        case ARGP_KEY_ARG:
            args->scenario = arg;
            return 0;
        case ARGP_KEY_END:
            if (!args->scenario) {
                argp_error(state, "a scenario file is required");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

int main(int argc, char** argv) {
    static const struct argp_option options[] = {{"output", 'o', "FILE", 0, "results as JSON", 0}, {0}};
    const struct argp argp = {.options = options,
                              .parser = parse_option,
                              .args_doc = "SCENARIO.ini",
                              .doc = "Generates open-loop load against chalkway hosts."};
    static scenario_t scenario;
    args_t args = {0};
    argp_err_exit_status = EX_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    scenario.load.seed = 1;
    if (ini_parse(args.scenario, read_line, &scenario) != 0) {
        fprintf(stderr, "%s: cannot be read\n", args.scenario);
        return EX_CONFIG;
    }
    if (!finish_scenario(&scenario)) {
        return EX_CONFIG;
    }
    signal(SIGPIPE, SIG_IGN);
    scenario.load.on_progress = on_progress;
    scenario.load.user_data = &scenario;
    load_result_t result = load_run(&scenario.load);
    fprintf(stderr, "\r                    \r");
    json_t* root = print_report(&scenario, &result);
    int failed = args.output ? json_dump_file(root, args.output, JSON_INDENT(2)) : 0;
    json_decref(root);
    return failed ? EX_CANTCREAT : EX_OK;
}
