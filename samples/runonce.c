/* At-most-once calls by idempotency key: a first call, a retry while it runs, a retry afterwards, and the same key
   at the host after a restart. */
#include <chalkway_runonce.h>
#include <stdio.h>

static const char* const verdict_names[] = {"run it",
                                            "join the running call",
                                            "send the stored response",
                                            "response no longer stored",
                                            "unknown: ask the application",
                                            "no ticket",
                                            "key was used for another call",
                                            "table full"};

int main(void) {
    cw_runonce_t* table = cw_runonce_setup(&(cw_runonce_desc_t){.host = "host-1", .incarnation = 77});
    cw_runonce_t* restarted_table = cw_runonce_setup(&(cw_runonce_desc_t){.host = "host-1", .incarnation = 78});
    char key[CW_IDEMPOTENCY_KEY_MAX];
    char response[] = "booked";
    snprintf(key, sizeof(key), "%s/booking-1", cw_runonce_ticket(table, 0).text);
    cw_runonce_begin_t first = cw_runonce_begin(table, 10, 1, key, 5);
    printf("first call:                %s\n", verdict_names[first.verdict]);
    printf("retry while it runs:       %s\n", verdict_names[cw_runonce_begin(table, 20, 1, key, 5).verdict]);
    cw_runonce_complete(table, first.record, response, sizeof(response));
    printf("retry afterwards:          %s\n", verdict_names[cw_runonce_begin(table, 30, 1, key, 5).verdict]);
    printf("host after a restart:      %s\n", verdict_names[cw_runonce_begin(restarted_table, 40, 1, key, 5).verdict]);
    cw_runonce_shutdown(table);
    cw_runonce_shutdown(restarted_table);
    return 0;
}
