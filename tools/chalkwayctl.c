/*
    chalkwayctl: shows what operators declared and how it stands.

        chalkwayctl -a IP:PORT get KIND [NAME]       a table, or JSON with -o json
        chalkwayctl -a IP:PORT describe KIND NAME    spec, revisions and conditions
        chalkwayctl -a IP:PORT watch KIND            prints the table at each change
        chalkwayctl -a IP:PORT validate KIND/NAME FILE
        chalkwayctl -a IP:PORT status                this host, its members and shards
        chalkwayctl -a IP:PORT held                  requests under which servers ended (a gateway's metrics address)
        chalkwayctl -a IP:PORT release FINGERPRINT [WORKSPACE]
                                                     one of them is no danger: all hosts take it again
        chalkwayctl explain ID FILE...               the lines of a request in daemons' logs, in order of time
*/
#include <argp.h>
#include <curl/curl.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "explain.h"

#define MAX_WORDS 1024
#define URL_MAX 512
#define WATCH_MS 30000L
#define TIMEOUT_MS 10000L

const char* argp_program_version = "chalkwayctl 0.1.0";

typedef struct args_t {
    const char* address;
    bool json;
    char* words[MAX_WORDS];
    int count;
} args_t;

typedef struct reply_t {
    char* text;
    size_t size;
    long status;
} reply_t;

/* -- requests ------------------------------------------------------------- */

static size_t take(char* data, size_t size, size_t count, void* user) {
    reply_t* r = user;
    size_t n = size * count;
    char* grown = realloc(r->text, r->size + n + 1);
    if (!grown) {
        return 0;
    }
    r->text = grown;
    memcpy(r->text + r->size, data, n);
    r->size += n;
    r->text[r->size] = 0;
    return n;
}

/* One request; body NULL for GET. Says on standard error when there is no answer. */
static reply_t ask(const args_t* args, const char* path, const char* body, long timeout_ms) {
    reply_t r = {0};
    char url[URL_MAX];
    snprintf(url, sizeof(url), "http://%s%s", args->address, path);
    CURL* e = curl_easy_init();
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, take);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, &r);
    if (body) {
        curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
    }
    CURLcode code = curl_easy_perform(e);
    curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &r.status);
    curl_easy_cleanup(e);
    if (code != CURLE_OK) {
        fprintf(stderr, "request to %s: %s\n", args->address, curl_easy_strerror(code));
        r.status = 0;
    }
    return r;
}

/* Prints an error answer; returns the exit status. */
static int explain(const reply_t* r) {
    json_t* root = json_loads(r->text ? r->text : "", 0, NULL);
    json_t* error = json_object_get(root, "error");
    const char* message = json_string_value(json_object_get(error, "message"));
    const char* step = json_string_value(json_object_get(error, "step"));
    if (r->status) {
        fprintf(stderr, "%s: %s\n", step ? step : "answer", message ? message : "not understood");
    }
    json_decref(root);
    return r->status == 404 ? EX_DATAERR : r->status == 422 ? EX_DATAERR : EX_UNAVAILABLE;
}

/* -- output --------------------------------------------------------------- */

static void print_json(json_t* root) {
    char* text = json_dumps(root, JSON_INDENT(2));
    puts(text);
    free(text);
}

static json_t* first_condition(json_t* item) {
    return json_array_get(json_object_get(json_object_get(item, "status"), "conditions"), 0);
}

static void print_row(json_t* item) {
    json_t* status = json_object_get(item, "status");
    json_t* condition = first_condition(item);
    printf("%-32s %10lld %10lld  %-8s %s\n", json_string_value(json_object_get(item, "name")),
           (long long)json_integer_value(json_object_get(status, "observed_revision")),
           (long long)json_integer_value(json_object_get(status, "in_force_revision")),
           json_is_true(json_object_get(condition, "status")) ? "yes" : "NO",
           json_string_value(json_object_get(condition, "reason")));
}

static void print_table(json_t* root) {
    size_t i = 0;
    json_t* item = NULL;
    printf("%-32s %10s %10s  %-8s %s\n", "NAME", "OBSERVED", "IN FORCE", "CURRENT", "REASON");
    json_t* items = json_object_get(root, "items");
    if (!items) {
        print_row(root);
    }
    json_array_foreach(items, i, item) {
        print_row(item);
    }
}

static void print_status(json_t* root) {
    size_t i = 0;
    json_t* m = NULL;
    printf("host %s in hall %s, revision %lld, platform %s\n\n", json_string_value(json_object_get(root, "host")),
           json_string_value(json_object_get(root, "hall")),
           (long long)json_integer_value(json_object_get(root, "revision")),
           json_string_value(json_object_get(root, "platform")));
    printf("%-20s %-12s %-8s %-8s %10s  %s\n", "MEMBER", "HALL", "STATE", "LEAVING", "REVISION", "HTTP");
    json_array_foreach(json_object_get(root, "members"), i, m) {
        printf("%-20s %-12s %-8s %-8s %10lld  %s\n", json_string_value(json_object_get(m, "name")),
               json_string_value(json_object_get(m, "hall")), json_string_value(json_object_get(m, "state")),
               json_is_true(json_object_get(m, "leaving")) ? "yes" : "no",
               (long long)json_integer_value(json_object_get(m, "revision")),
               json_string_value(json_object_get(m, "http")));
    }
    printf("\n%-18s %-16s %8s %8s %8s %8s\n", "SHARD", "POOL", "WAITING", "RUNNING", "LIMIT", "WAIT MS");
    json_array_foreach(json_object_get(root, "shards"), i, m) {
        printf("%-18s %-16s %8lld %8lld %8lld %8lld\n", json_string_value(json_object_get(m, "shard")),
               json_string_value(json_object_get(m, "pool")),
               (long long)json_integer_value(json_object_get(m, "waiting")),
               (long long)json_integer_value(json_object_get(m, "running")),
               (long long)json_integer_value(json_object_get(m, "limit")),
               (long long)json_integer_value(json_object_get(m, "wait_ms")));
    }
}

/* -- commands ------------------------------------------------------------- */

static int show(const args_t* args, const char* path, void (*print)(json_t* root)) {
    reply_t r = ask(args, path, NULL, TIMEOUT_MS);
    json_t* root = r.status == 200 ? json_loads(r.text, 0, NULL) : NULL;
    int code = root ? EX_OK : explain(&r);
    if (root) {
        (args->json ? print_json : print)(root);
    }
    json_decref(root);
    free(r.text);
    return code;
}

static int watch(const args_t* args) {
    long long revision = -1;
    for (;;) {
        char path[URL_MAX];
        snprintf(path, sizeof(path), "/v1/resources/%s?since=%lld&wait_ms=%ld", args->words[1], revision, WATCH_MS);
        reply_t r = ask(args, path, NULL, WATCH_MS + TIMEOUT_MS);
        json_t* root = r.status == 200 ? json_loads(r.text, 0, NULL) : NULL;
        if (!root) {
            int code = explain(&r);
            free(r.text);
            return code;
        }
        long long now = json_integer_value(json_object_get(root, "revision"));
        if (now != revision) {
            (args->json ? print_json : print_table)(root);
            fflush(stdout);
        }
        revision = now;
        json_decref(root);
        free(r.text);
    }
}

static int validate(const args_t* args) {
    json_error_t why;
    json_t* spec = json_load_file(args->words[2], 0, &why);
    if (!spec) {
        fprintf(stderr, "%s:%d: %s\n", args->words[2], why.line, why.text);
        return EX_DATAERR;
    }
    json_t* root = json_pack("{s:s,s:o}", "key", args->words[1], "spec", spec);
    char* body = json_dumps(root, JSON_COMPACT);
    reply_t r = ask(args, "/v1/validate", body, TIMEOUT_MS);
    int code = r.status == 200 ? EX_OK : explain(&r);
    if (code == EX_OK) {
        printf("%s is valid\n", args->words[1]);
    }
    json_decref(root);
    free(body);
    free(r.text);
    return code;
}

/* The lines of one request in the logs named. */
static int explain_id(const args_t* args) {
    int lines = explain_request(args->words[1], args->words + 2, args->count - 2, stdout);
    if (lines < 0) {
        fprintf(stderr, "not every file can be read\n");
        return EX_NOINPUT;
    }
    if (!lines) {
        fprintf(stderr, "no line of %s in %d files: no daemon that wrote them read the request as a whole\n",
                args->words[1], args->count - 2);
        return EX_DATAERR;
    }
    return EX_OK;
}

static void print_held(json_t* root) {
    size_t i = 0;
    json_t* item = NULL;
    printf("%-16s  %-16s  %-7s %4s  %s\n", "FINGERPRINT", "WORKSPACE", "VERDICT", "ENDS", "AGAIN IN S");
    json_array_foreach(json_object_get(root, "requests"), i, item) {
        printf("%-16s  %-16s  %-7s %4zu  %lld\n", json_string_value(json_object_get(item, "fingerprint")),
               json_string_value(json_object_get(item, "workspace")),
               json_string_value(json_object_get(item, "verdict")), json_array_size(json_object_get(item, "ends")),
               (long long)json_integer_value(json_object_get(item, "retry_ms")) / 1000);
    }
}

/* Every host hears of it from the one that is asked. */
static int release(const args_t* args) {
    char path[URL_MAX];
    snprintf(path, sizeof(path), "/held/release?fingerprint=%s&workspace=%s", args->words[1],
             args->count > 2 ? args->words[2] : "0");
    reply_t r = ask(args, path, "", TIMEOUT_MS);
    if (r.status == 200) {
        printf("%s is released\n", args->words[1]);
    } else if (r.status == 404) {
        fprintf(stderr, "%s: nothing is known against such a request of this workspace\n", args->words[1]);
    }
    free(r.text);
    return r.status == 200 ? EX_OK : r.status == 404 ? EX_DATAERR : EX_UNAVAILABLE;
}

static int run(const args_t* args) {
    const char* command = args->words[0];
    char path[URL_MAX];
    if (strcmp(command, "explain") == 0 && args->count >= 3) {
        return explain_id(args);
    }
    if (!args->address) {
        fprintf(stderr, "an address (-a) is needed; see --help\n");
        return EX_USAGE;
    }
    if (strcmp(command, "get") == 0 && args->count >= 2) {
        snprintf(path, sizeof(path), "/v1/resources/%s%s%s", args->words[1], args->count > 2 ? "/" : "",
                 args->count > 2 ? args->words[2] : "");
        return show(args, path, print_table);
    }
    if (strcmp(command, "describe") == 0 && args->count == 3) {
        snprintf(path, sizeof(path), "/v1/resources/%s/%s", args->words[1], args->words[2]);
        return show(args, path, print_json);
    }
    if (strcmp(command, "watch") == 0 && args->count == 2) {
        return watch(args);
    }
    if (strcmp(command, "validate") == 0 && args->count == 3) {
        return validate(args);
    }
    if (strcmp(command, "held") == 0 && args->count == 1) {
        return show(args, "/held", print_held);
    }
    if (strcmp(command, "release") == 0 && (args->count == 2 || args->count == 3)) {
        return release(args);
    }
    if (strcmp(command, "status") == 0 && args->count == 1) {
        return show(args, "/v1/status", print_status);
    }
    fprintf(stderr, "not a command with these words; see --help\n");
    return EX_USAGE;
}

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    args_t* args = state->input;
    switch (key) {
        case 'a':
            args->address = arg;
            return 0;
        case 'o':
            args->json = strcmp(arg, "json") == 0;
            return 0;
        case ARGP_KEY_ARG:
            if (args->count == MAX_WORDS) {
                argp_error(state, "too many words");
            }
            args->words[args->count++] = arg;
            return 0;
        case ARGP_KEY_END:
            if (!args->count) {
                argp_error(state, "a command is needed");
            }
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

int main(int argc, char** argv) {
    static const struct argp_option options[] = {
        {"address", 'a', "IP:PORT", 0, "operator address of a host; for held and release a gateway's metrics address",
         0},
        {"output", 'o', "FORMAT", 0, "table (default) or json", 0},
        {0},
    };
    const struct argp argp = {.options = options,
                              .parser = parse_option,
                              .args_doc =
                                  "get KIND [NAME] | describe KIND NAME | watch KIND | validate KIND/NAME FILE | "
                                  "status | held | release FINGERPRINT [WORKSPACE] | explain ID FILE...",
                              .doc = "Shows declared resources and the state of hosts. KIND: workspaces, classes, "
                                     "pools, upstreams."};
    args_t args = {0};
    argp_err_exit_status = EX_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return run(&args);
}
