/* Names of calls that run at most once: a ticket, a run, a repeat, another process. */
#include <chalkway_runonce.h>
#include <stdio.h>

static const char* const verdicts[] = {"run it",
                                       "join the running call",
                                       "give the kept answer",
                                       "answer lost",
                                       "unknown: ask the application",
                                       "no ticket",
                                       "name used for another call",
                                       "table full"};

int main(void) {
    cw_runonce_t* here = cw_runonce_setup(&(cw_runonce_desc_t){.host = "host-1", .incarnation = 77});
    cw_runonce_t* later = cw_runonce_setup(&(cw_runonce_desc_t){.host = "host-1", .incarnation = 78});
    char name[CW_CALL_NAME_MAX];
    char answer[] = "booked";
    snprintf(name, sizeof(name), "%s/booking-1", cw_runonce_ticket(here, 0).text);
    cw_runonce_begin_t first = cw_runonce_begin(here, 10, 1, name, 5);
    printf("first:                     %s\n", verdicts[first.verdict]);
    printf("repeat while it runs:      %s\n", verdicts[cw_runonce_begin(here, 20, 1, name, 5).verdict]);
    cw_runonce_keep(here, first.record, answer, sizeof(answer));
    printf("repeat afterwards:         %s\n", verdicts[cw_runonce_begin(here, 30, 1, name, 5).verdict]);
    printf("the host after a restart:  %s\n", verdicts[cw_runonce_begin(later, 40, 1, name, 5).verdict]);
    cw_runonce_shutdown(here);
    cw_runonce_shutdown(later);
    return 0;
}
