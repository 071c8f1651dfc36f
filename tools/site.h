#ifndef CW_TOOLS_SITE_H
#define CW_TOOLS_SITE_H
/*
    A small site on this machine, made of real processes that listen on
    ports chosen by the kernel: the platform stand-in, daemons, and stand-ins
    for engines and services. Used by the demo, the process tests and the
    benchmarks.
*/
#include <sys/types.h>

#include "../chalkway_core.h"

#define SITE_MAX_PROCS 96
#define SITE_ADDRESS_MAX 48
#define SITE_BODY_MAX 65536

typedef enum site_kind_t { SITE_PLATFORM, SITE_ENGINE, SITE_SERVICE, SITE_DAEMON } site_kind_t;

typedef struct site_proc_t {
    site_kind_t kind;
    pid_t pid; /* 0: not running */
    char name[32];
    char hall[32];
    char http[SITE_ADDRESS_MAX];
    char peer[SITE_ADDRESS_MAX];          /* daemons only */
    char operator_http[SITE_ADDRESS_MAX]; /* daemons only */
    char config[160];                     /* daemons only: path of the settings file */
} site_proc_t;

typedef struct site_t {
    char build[128]; /* directory of the programs */
    char dir[64];    /* temporary directory of settings files and logs */
    site_proc_t procs[SITE_MAX_PROCS];
    int count;
    const char* extra_daemon_settings; /* lines appended to the daemons' settings files, or NULL */
    const char* log_level;             /* of the daemons; NULL: warn */
} site_t;

/* Response to a blocking request. */
typedef struct site_response_t {
    long status;      /* 0: no response */
    bool is_complete; /* received completely */
    char outcome[32];
    char retry_after[16];
    long bytes; /* of the request and its response, headers included */
    char body[SITE_BODY_MAX];
} site_response_t;

typedef struct site_request_t {
    const char* method;
    const char* address; /* IP:PORT */
    const char* path;
    const char* token; /* bearer token, or NULL */
    const char* class_name;
    const char* key; /* idempotency key, or NULL */
    const char* body;
    long timeout_ms; /* 0: 20000 */
} site_request_t;

/* build: directory of the programs. Creates the temporary directory; aborts on failure. */
void site_setup(site_t* s, const char* build);
/* Stops all processes of the site, daemons first; returns the number of daemons whose exit code was not 0. */
int site_shutdown(site_t* s);
/* Starts a program and waits for the ready line on its standard output; on failure prints an error and returns NULL.
   args is NULL-terminated. */
site_proc_t* site_start(site_t* s, site_kind_t kind, const char* name, const char* hall, const char* const* args);
/* Starts a daemon; its seeds are up to four of the running daemons. */
site_proc_t* site_start_daemon(site_t* s, const char* name, const char* hall);
/* Restarts a daemon that was stopped, under its previous name and addresses. */
bool site_restart_daemon(site_t* s, site_proc_t* p);
site_proc_t* site_find_process(site_t* s, const char* name);
/* Sends SIGTERM and waits for the end; returns the exit code, or -1 if a signal ended the process. */
int site_stop(site_proc_t* p);
/* The two halves of site_stop: sends SIGTERM, and waits for the end, killing the process after 60 s. */
void site_send_stop(const site_proc_t* p);
int site_wait_stopped(site_proc_t* p);
/* Sends SIGKILL and waits for the end. */
void site_kill(site_proc_t* p);
/* Publishes documents on the platform stand-in; items is JSON: {"items": [...]}. */
bool site_publish(site_t* s, const char* items);
/* Publishes the list of hosts: all running processes; leaving names the one in state "leaving", or NULL. */
bool site_publish_hosts(site_t* s, const char* leaving);
/* Sends a blocking HTTP request. */
site_response_t site_call(const site_request_t* request);
/* Sends GET and returns the number at a top-level key of the JSON response, or -1 if there is none. */
double site_get_number(const char* address, const char* path, const char* key);
/* Waits until GET /readyz of every daemon gives 200 and each daemon lists at least as many live members as there are
   daemons; false on timeout. */
bool site_wait_ready(site_t* s, int timeout_ms);
/* Waits until the active configuration revision of every daemon is at least revision; false on timeout. */
bool site_wait_revision(site_t* s, long long revision, int timeout_ms);
/* Hexadecimal digest of a bearer token, as listed in a published workspace. */
void site_digest(const char* token, char out[65]);
void site_sleep_ms(int ms);
int64_t site_now_ms(void);

#endif
